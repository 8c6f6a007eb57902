/// The trail of accepted changes: part of it beside the document, the older part in archives.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/stored_configuration.h"
#include "core/error.h"
#include "store/object_api.h"

namespace monsoonlift::configuration {

/// An archive that must exist before its entries leave `configuration/current`.
struct archive_plan {
    std::string name; ///< `audit/<first revision>-<last revision>`
    audit_archive archive;
};

/// The archive to write before the next change, or nothing while the trail is short. Depends on `stored`
/// alone, so that racing operators plan the same archive.
[[nodiscard]] std::optional<archive_plan> plan_archive(const stored_configuration& stored);

/// `stored` without the entries that the plan archives.
[[nodiscard]] stored_configuration without_archived(stored_configuration stored, const archive_plan& plan);

/// Which entries are wanted.
struct history_query {
    std::size_t limit = 0;            ///< At most so many, the newest; 0 for all.
    std::uint64_t after_revision = 0; ///< Only entries of higher revisions.
};

/// Reads entries, newest first, from `configuration/current` and as many archives as it takes.
void read_history(store::object_api& api, const history_query& query, std::chrono::milliseconds patience,
                  std::function<void(core::result<std::vector<audit_entry>>)> done);

/// As above, from a configuration that has been read.
void read_history(store::object_api& api, const stored_configuration& stored, const history_query& query,
                  std::chrono::milliseconds patience,
                  std::function<void(core::result<std::vector<audit_entry>>)> done);

} // namespace monsoonlift::configuration
