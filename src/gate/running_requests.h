/// Which requests run on the local backend server, by the names that their callers gave them.
#pragma once

#include "gate/context_token.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::gate {

/// Answers backend servers that name their own calls after the request that makes them, as in "a1.b2" for a
/// call made by "a1", and pass on nothing else. A name counts only while that request runs here, so a caller
/// can't claim a parent that isn't there. Thread-safe; its mutex is a leaf in the lock order.
class running_requests {
public:
    /// The request begins to run. Of two runs of one name the later one counts.
    void begin(const std::string& name, const context_token& token);

    /// The run ended.
    void end(const std::string& name, std::uint64_t run);

    /// The request that runs here and whose name, followed by a dot, begins `name`; the longest if several
    /// do.
    [[nodiscard]] std::optional<context_token> find_parent(std::string_view name) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, context_token, std::less<>> m_running;
};

} // namespace monsoonlift::gate
