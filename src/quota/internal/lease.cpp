#include "quota/lease.h"

#include "quota/quota_rules.h"

#include <algorithm>
#include <sstream>

namespace monsoonlift::quota {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view format_name = "lease1";

/// Time between two reads of the second candidate.
constexpr std::chrono::milliseconds second_read_interval = 1000ms;

/// Longest time between two reads that together show an unchanged lease. Between reads further apart the
/// lease may have been renewed and the store restored from a copy that is older than the renewal.
constexpr std::chrono::milliseconds longest_read_gap = 1250ms;

/// How long the second candidate sees the lease unchanged before it takes over: long enough for the first one
/// to do so.
constexpr std::chrono::milliseconds second_patience = 4000ms;

/// A release counts at once if its holder was seen holding the lease within this time. Two reads are closer
/// than that, and a copy from which the store may have been restored in between is older.
constexpr std::chrono::milliseconds release_memory = 1000ms;

lease_step write_of(lease_state& lease, bool released) {
    lease_step step;
    step.what = lease_step::kind::write;
    step.expected_version = lease.seen ? lease.seen->version : 0;
    const auto seen = lease.seen && lease.seen->record ? lease.seen->record->sequence : 0;
    lease.sequence = std::max(lease.sequence, seen) + 1;
    step.record = {lease.self, lease.sequence, released};
    return step;
}

bool may_take_over(const lease_state& lease, lease_interest interest, core::boot_time now) {
    if (!lease.seen || lease.reads_next || now - lease.seen->last > longest_read_gap) {
        return false;
    }
    const auto patience = interest == lease_interest::first ? lease_lifetime : second_patience;
    return (lease.seen->free_at_once && interest == lease_interest::first) ||
           lease.seen->last - lease.seen->since >= patience + 1ms;
}

lease_step choose_step(lease_state& lease, lease_interest interest, core::boot_time now) {
    const lease_step read{lease_step::kind::read, 0, {}};
    const auto passed = lease.last_begun == core::boot_time::min() ? core::boot_clock::duration::max()
                                                                   : now - lease.last_begun;
    if (holds(lease, now)) {
        if (lease.reads_next) {
            return read;
        }
        const bool leaves = interest == lease_interest::leaving;
        const bool is_due = now - (lease.valid_until - lease_lifetime) >= lease_renewal;
        return leaves || is_due ? write_of(lease, leaves) : lease_step();
    }
    const bool contends = interest == lease_interest::first || interest == lease_interest::second;
    if (!contends) {
        return {};
    }
    if (may_take_over(lease, interest, now)) {
        return write_of(lease, false);
    }
    const auto interval = interest == lease_interest::first ? lease_renewal : second_read_interval;
    return passed >= interval ? read : lease_step();
}

bool is_release_of_holder(const lease_sighting& before, const std::optional<lease_record>& found,
                          core::boot_time now) {
    return found && found->released && before.record && !before.record->released &&
           before.record->holder == found->holder && before.record->sequence < found->sequence &&
           now - before.last <= release_memory;
}

} // namespace

std::string to_text(const lease_record& record) {
    std::ostringstream text;
    text << format_name << ' ' << record.holder.address << ' ' << record.holder.life.value << ' '
         << record.sequence << ' ' << (record.released ? "released" : "held");
    return text.str();
}

std::optional<lease_record> parse_lease(std::string_view text) {
    std::istringstream fields{std::string(text)};
    std::string format;
    std::string state;
    lease_record record;
    fields >> format >> record.holder.address >> record.holder.life.value >> record.sequence >> state;
    if (!fields || format != format_name || (state != "held" && state != "released")) {
        return std::nullopt;
    }
    record.released = state == "released";
    return record;
}

bool holds(const lease_state& lease, core::boot_time now) {
    return !lease.released && now < lease.valid_until;
}

lease_step next_step(lease_state& lease, lease_interest interest, core::boot_time now) {
    if (lease.is_busy || lease.released) {
        return {};
    }
    auto step = choose_step(lease, interest, now);
    if (step.what == lease_step::kind::none) {
        return step;
    }
    lease.is_busy = true;
    lease.last_begun = now;
    // NOTE: nothing is granted from here on, whether or not the store learns of the release.
    lease.released = step.what == lease_step::kind::write && step.record.released;
    return step;
}

void note_read(lease_state& lease, const std::optional<store::object>& found, core::boot_time now) {
    lease.is_busy = false;
    lease.reads_next = false;
    const auto version = found ? found->version : 0;
    const auto record = found ? parse_lease(found->value) : std::nullopt;
    const bool is_unchanged = lease.seen && lease.seen->version == version && lease.seen->record == record;
    if (is_unchanged && now - lease.seen->last <= longest_read_gap) {
        lease.seen->last = now;
        return;
    }
    const bool is_free = lease.seen && is_release_of_holder(*lease.seen, record, now);
    lease.seen = lease_sighting{version, record, now, now, is_free};
}

void note_read_failed(lease_state& lease) {
    lease.is_busy = false;
}

void note_written(lease_state& lease, const lease_step& step, std::uint64_t version, core::boot_time sent,
                  core::boot_time now) {
    lease.is_busy = false;
    lease.seen = lease_sighting{version, step.record, now, now, false};
    if (!step.record.released) {
        lease.tenure += now < lease.valid_until ? 0 : 1;
        lease.valid_until = sent + lease_lifetime;
    }
}

void note_write_failed(lease_state& lease) {
    lease.is_busy = false;
    lease.reads_next = true;
}

void forget_sighting(lease_state& lease) {
    lease.seen.reset();
    lease.reads_next = true;
}

std::optional<core::endpoint_id> known_holder(const lease_state& lease, core::boot_time now) {
    if (holds(lease, now)) {
        return lease.self;
    }
    const bool is_held = lease.seen && lease.seen->record && !lease.seen->record->released &&
                         lease.seen->record->holder != lease.self &&
                         lease.seen->last - lease.seen->since < lease_lifetime;
    return is_held ? std::optional(lease.seen->record->holder) : std::nullopt;
}

} // namespace monsoonlift::quota
