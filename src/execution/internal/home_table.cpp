#include "execution/home_table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace monsoonlift::execution {

namespace {

using std::chrono::milliseconds;
namespace json = boost::json;

/// Rounds up, so that no key was received after the stored time.
std::int64_t to_milliseconds_up(core::wall_time time) {
    return std::chrono::ceil<milliseconds>(time.time_since_epoch()).count();
}

std::optional<home_slot> read_slot(const json::value& value) {
    if (!value.is_object()) {
        return std::nullopt;
    }
    const json::object& fields = value.as_object();
    const json::value* address = fields.if_contains("address");
    const json::value* incarnation = fields.if_contains("incarnation");
    const json::value* seen = fields.if_contains("seen_until_ms");
    if (address == nullptr || incarnation == nullptr || seen == nullptr || !address->is_string() ||
        !seen->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code fault;
    home_slot slot;
    slot.holder.address = std::string(address->as_string());
    slot.holder.life.value = incarnation->to_number<std::uint64_t>(fault);
    if (fault) {
        return std::nullopt;
    }
    slot.seen_until = core::wall_time(milliseconds(seen->to_number<std::int64_t>(fault)));
    return fault ? std::nullopt : std::optional(slot);
}

std::size_t fair_share(std::size_t gates) {
    return (home_slots + gates - 1) / gates;
}

std::size_t count_held(const home_table& table, const core::endpoint_id& holder) {
    return static_cast<std::size_t>(
        std::count_if(table.slots.begin(), table.slots.end(),
                      [&](const home_slot& slot) { return slot.holder == holder; }));
}

void take_over_from_earlier_incarnations(const home_view& view, home_table& table, core::wall_time now) {
    for (home_slot& slot : table.slots) {
        if (slot.holder.address == view.self.address && slot.holder.life < view.self.life) {
            slot = {view.self, now};
        }
    }
}

void take_free_slots(const home_view& view, home_table& table, std::size_t share) {
    std::size_t held = count_held(table, view.self);
    for (home_slot& slot : table.slots) {
        if (held < share && slot.holder.address.empty()) {
            slot.holder = view.self;
            ++held;
        }
    }
}

/// Distributes all slots among the gates. Only for the first write of a table: no slot had a holder before.
void share_out(const home_view& view, home_table& table, const std::vector<core::endpoint_id>& others) {
    const std::size_t gates = others.size() + 1;
    for (std::size_t slot = 0; slot < table.slots.size(); ++slot) {
        const std::size_t receiver = slot % gates;
        table.slots[slot].holder = receiver == 0 ? view.self : others[receiver - 1];
    }
}

void give(const home_view& view, home_table& table, std::size_t slot, const core::endpoint_id& receiver) {
    home_slot& given_slot = table.slots[slot];
    given_slot.seen_until = std::max(given_slot.seen_until, view.last_begun[slot]);
    given_slot.holder = receiver;
}

/// Returns the gate among `others` that holds the fewest slots.
const core::endpoint_id& least_loaded(const home_table& table, const std::vector<core::endpoint_id>& others) {
    return *std::min_element(others.begin(), others.end(),
                             [&](const core::endpoint_id& left, const core::endpoint_id& right) {
                                 return count_held(table, left) < count_held(table, right);
                             });
}

void give_all(const home_view& view, home_table& table, const std::vector<core::endpoint_id>& others) {
    for (std::size_t slot = 0; slot < table.slots.size(); ++slot) {
        if (table.slots[slot].holder == view.self) {
            give(view, table, slot, others.empty() ? core::endpoint_id{} : least_loaded(table, others));
        }
    }
}

/// True if callers may still resend an opaque key of the slot that began here.
bool has_fresh_opaque_keys(const home_view& view, std::size_t slot, core::wall_time now) {
    const core::wall_time last = view.last_opaque_begun[slot];
    return last != core::wall_time{} && now <= last + view.opaque_refusal_time;
}

void give_surplus(const home_view& view, home_table& table, const std::vector<core::endpoint_id>& others,
                  core::wall_time now) {
    const std::size_t full_share = home_slots / (others.size() + 1);
    std::size_t held = count_held(table, view.self);
    for (std::size_t slot = 0; slot < table.slots.size() && held > full_share; ++slot) {
        if (table.slots[slot].holder != view.self || has_fresh_opaque_keys(view, slot, now)) {
            continue;
        }
        const core::endpoint_id* receiver = others.empty() ? nullptr : &least_loaded(table, others);
        if (receiver == nullptr || count_held(table, *receiver) >= full_share) {
            return;
        }
        give(view, table, slot, *receiver);
        --held;
    }
}

} // namespace

std::string write_homes(const home_table& table) {
    json::array slots;
    for (const home_slot& slot : table.slots) {
        slots.push_back(json::object{{"address", slot.holder.address},
                                     {"incarnation", slot.holder.life.value},
                                     {"seen_until_ms", to_milliseconds_up(slot.seen_until)}});
    }
    return json::serialize(json::object{{"slots", std::move(slots)}});
}

std::optional<home_table> read_homes(std::string_view value, std::uint64_t version) {
    boost::system::error_code fault;
    const json::value root = json::parse(json::string_view(value.data(), value.size()), fault);
    const json::value* slots = !fault && root.is_object() ? root.as_object().if_contains("slots") : nullptr;
    if (slots == nullptr || !slots->is_array() || slots->as_array().size() != home_slots) {
        return std::nullopt;
    }
    home_table table;
    table.version = version;
    for (std::size_t index = 0; index < home_slots; ++index) {
        const std::optional<home_slot> slot = read_slot(slots->as_array()[index]);
        if (!slot) {
            return std::nullopt;
        }
        table.slots[index] = *slot;
    }
    return table;
}

void adopt(home_view& view, const home_table& read) {
    if (read.version <= view.table.version) {
        return;
    }
    view.table = read;
    if (view.pending && read.version > view.pending->expected_version) {
        view.pending.reset();
    }
}

bool is_changing(const home_view& view, std::size_t slot) {
    return view.pending && view.pending->proposed.slots[slot].holder != view.table.slots[slot].holder;
}

bool holds(const home_view& view, std::size_t slot) {
    return view.table.slots[slot].holder == view.self && !is_changing(view, slot);
}

std::optional<home_table> propose(const home_view& view, const std::vector<core::endpoint_id>& others,
                                  bool leaves, core::wall_time now) {
    home_table desired = view.table;
    take_over_from_earlier_incarnations(view, desired, now);
    const bool never_existed = desired.version == 0;
    if (never_existed && !leaves) {
        share_out(view, desired, others);
    } else if (leaves) {
        give_all(view, desired, others);
    } else {
        take_free_slots(view, desired, fair_share(others.size() + 1));
        give_surplus(view, desired, others, now);
    }
    if (desired.slots == view.table.slots) {
        return std::nullopt;
    }
    return desired;
}

void begin_write(home_view& view, const home_table& proposed) {
    view.pending = pending_homes{view.table.version, proposed};
}

void confirm_write(home_view& view, std::uint64_t version) {
    if (!view.pending) {
        return;
    }
    home_table written = view.pending->proposed;
    written.version = version;
    adopt(view, written);
}

void cancel_write(home_view& view) {
    view.pending.reset();
}

home_table fence_holder(const home_table& table, std::string_view address, core::wall_time now) {
    home_table fenced = table;
    for (home_slot& slot : fenced.slots) {
        if (slot.holder.address == address) {
            slot = {core::endpoint_id{}, now};
        }
    }
    return fenced;
}

} // namespace monsoonlift::execution
