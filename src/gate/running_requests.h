/// Registry of the requests that run on the local backend server, by the names that their callers gave them.
#pragma once

#include "gate/context_token.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace monsoonlift::gate {

/// Supports backend servers that identify nested calls only by a name derived from the parent request, such
/// as "a1.b2" for a call made by "a1". A name is valid only while its request runs here, so a caller can't
/// claim a parent that doesn't exist. Thread-safe; its mutex is a leaf in the lock order.
class running_requests {
public:
    /// Whether a name is that of a nested call, whose parent may be running or not.
    [[nodiscard]] static bool names_nested_call(std::string_view name);

    /// Adds a request that begins to run; replaces an earlier run of the same name.
    void begin(const std::string& name, const context_token& token);

    /// Removes a run that ended; ignored if a later run has replaced it.
    void end(const std::string& name, std::uint64_t run);

    /// Returns the running request whose name, followed by a dot, is a prefix of `name`; the longest if
    /// several match, nullopt if none does.
    [[nodiscard]] std::optional<context_token> find_parent(std::string_view name) const;

private:
    /// Hashes names and parts of names alike, so that a lookup needs no copy.
    struct name_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const noexcept {
            return std::hash<std::string_view>()(name);
        }
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, context_token, name_hash, std::equal_to<>> m_running;
};

} // namespace monsoonlift::gate
