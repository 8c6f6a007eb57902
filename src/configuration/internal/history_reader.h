#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "configuration/audit_trail.h"

namespace monsoonlift::configuration::internal {

/// One reading of the trail. Lives until its handler has been called; the API must live as long.
class history_reader : public std::enable_shared_from_this<history_reader> {
public:
    using handler = std::function<void(core::result<std::vector<audit_entry>>)>;

    history_reader(store::object_api& api, const history_query& query, std::chrono::milliseconds patience,
                   handler done);

    /// Reads `configuration/current` first.
    void start();

    /// Goes on from a configuration that has been read.
    void start(const stored_configuration& stored);

private:
    void add(const std::vector<audit_entry>& entries);
    [[nodiscard]] bool satisfied() const;
    void follow(const std::string& archive_name);
    void on_archive(core::result<store::object> answered);
    void fail(core::error failure);

    store::object_api& m_api;
    history_query m_query;
    std::chrono::milliseconds m_patience;
    handler m_done;
    std::vector<audit_entry> m_entries;
    bool m_passed_oldest = false;
};

} // namespace monsoonlift::configuration::internal
