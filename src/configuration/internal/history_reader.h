#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "configuration/audit_trail.h"

namespace monsoonlift::configuration::internal {

/// Reads the audit trail once. Keeps itself alive until its handler has been called; the API must outlive it.
class history_reader : public std::enable_shared_from_this<history_reader> {
public:
    using handler = std::function<void(core::result<std::vector<audit_entry>>)>;

    history_reader(store::object_api& api, const history_query& query, std::chrono::milliseconds patience,
                   handler done);

    /// Starts with reading `configuration/current`.
    void start();

    /// Starts from a stored configuration that has already been read.
    void start(const stored_configuration& stored);

private:
    void add(const std::vector<audit_entry>& entries);
    [[nodiscard]] bool is_complete() const;
    void read_archive(const std::string& archive_name);
    void on_archive(core::result<store::object> answered);
    void fail(core::error failure);

    store::object_api& m_api;
    history_query m_query;
    std::chrono::milliseconds m_patience;
    handler m_done;
    std::vector<audit_entry> m_entries;
    bool m_reached_lower_bound = false; ///< An entry of revision m_query.after_revision or lower was read.
};

} // namespace monsoonlift::configuration::internal
