#include "configuration/audit_trail.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "configuration/internal/history_reader.h"
#include "configuration/limits.h"
#include "configuration/stored_configuration_json.h"

namespace monsoonlift::configuration {

namespace {

constexpr std::size_t revision_digits = 12;

std::string padded(std::uint64_t revision) {
    const auto digits = std::to_string(revision);
    return std::string(revision_digits - std::min(revision_digits, digits.size()), '0') + digits;
}

std::size_t size_of(const std::vector<audit_entry>& entries) {
    std::size_t bytes = 0;
    for (const auto& entry : entries) {
        bytes += to_json(entry).size();
    }
    return bytes;
}

} // namespace

std::optional<archive_plan> plan_archive(const stored_configuration& stored) {
    const auto count = stored.audit.size();
    const bool is_long = count >= max_kept_entries || size_of(stored.audit) >= max_kept_entry_bytes;
    if (count < 2 || !is_long) {
        return std::nullopt;
    }
    archive_plan plan;
    plan.archive.previous_archive = stored.previous_archive;
    plan.archive.entries.assign(stored.audit.begin(),
                                stored.audit.begin() + static_cast<std::ptrdiff_t>(count / 2));
    plan.name = "audit/" + padded(plan.archive.entries.front().revision) + "-" +
                padded(plan.archive.entries.back().revision);
    return plan;
}

stored_configuration without_archived(stored_configuration stored, const archive_plan& plan) {
    const auto last = plan.archive.entries.back().revision;
    std::erase_if(stored.audit, [last](const audit_entry& entry) { return entry.revision <= last; });
    stored.previous_archive = plan.name;
    return stored;
}

void read_history(store::object_api& api, const history_query& query, std::chrono::milliseconds patience,
                  std::function<void(core::result<std::vector<audit_entry>>)> done) {
    std::make_shared<internal::history_reader>(api, query, patience, std::move(done))->start();
}

void read_history(store::object_api& api, const stored_configuration& stored, const history_query& query,
                  std::chrono::milliseconds patience,
                  std::function<void(core::result<std::vector<audit_entry>>)> done) {
    std::make_shared<internal::history_reader>(api, query, patience, std::move(done))->start(stored);
}

} // namespace monsoonlift::configuration
