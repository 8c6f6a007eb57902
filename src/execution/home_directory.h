/// An entry's cache of the homes of opaque and dated keys, filled from gates' answers without the platform.
/// Thread-safe.
///
/// How an entry selects the gate for a keyed non-idempotent request:
///   - A permit contains its gate: execution_key::gate.
///   - Otherwise call find(). If it returns nothing, use any gate of the service: the home runs the request,
///     another gate answers `wrong_home` with the home. Pass the home to learn() and send a new attempt
///     there. After `home_unknown` or `home_changing`, retry after a short pause.
///   - If the home is dead, answer may_have_run: no other gate may run its keys.
#pragma once

#include "core/types/call_ids.h"
#include "execution/types/execution_key.h"

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace monsoonlift::execution {

/// The gate that holds a slot, according to this version of the home table.
struct known_home {
    core::endpoint_id gate;
    std::uint64_t version = 0;
};

/// Cached homes by service and slot.
class home_directory {
public:
    /// Returns the home of a key; empty if it isn't known.
    [[nodiscard]] std::optional<known_home> find(const std::string& service, const std::string& key) const;

    /// Stores the home that a gate answered, unless its table version is earlier than the cached one.
    void learn(const std::string& service, const std::string& key, const known_home& home);

    /// Removes the home of a key if it is still `gate`, for example after that incarnation has ended.
    void forget(const std::string& service, const std::string& key, const core::endpoint_id& gate);

private:
    using slots = std::array<known_home, home_slots>;

    mutable std::mutex m_mutex;
    std::map<std::string, slots> m_services;
};

} // namespace monsoonlift::execution
