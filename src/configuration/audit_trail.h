/// The audit trail of accepted changes: the newest entries are stored with the document in
/// `configuration/current`, older ones in archive objects.
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

/// An archive object, which must be written before its entries are removed from `configuration/current`.
struct archive_plan {
    std::string name; ///< `audit/<first revision>-<last revision>`
    audit_archive archive;
};

/// Returns the archive to write before the next change, or nothing while the stored audit trail is below its
/// limits. The result depends on `stored` alone, so operators who submit concurrently plan the same archive.
[[nodiscard]] std::optional<archive_plan> plan_archive(const stored_configuration& stored);

/// Returns `stored` without the entries that `plan` archives and with the new archive as `previous_archive`.
[[nodiscard]] stored_configuration without_archived(stored_configuration stored, const archive_plan& plan);

/// Selects audit entries by count and revision.
struct history_query {
    std::size_t limit = 0;            ///< Maximum number of entries, newest first; 0 for no limit.
    std::uint64_t after_revision = 0; ///< Only entries with a higher revision.
};

/// Reads audit entries, newest first, from `configuration/current` and from as many archives as the query
/// needs. `patience` is the time-out of each call to the platform.
void read_history(store::object_api& api, const history_query& query, std::chrono::milliseconds patience,
                  std::function<void(core::result<std::vector<audit_entry>>)> done);

/// Same as above, but starts from a stored configuration that the caller has already read.
void read_history(store::object_api& api, const stored_configuration& stored, const history_query& query,
                  std::chrono::milliseconds patience,
                  std::function<void(core::result<std::vector<audit_entry>>)> done);

} // namespace monsoonlift::configuration
