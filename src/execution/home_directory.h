/// What an entry knows of the homes of plain keys, learnt from gates' answers; needs no platform.
/// Thread-safe.
///
/// How an entry finds the gate for a keyed non-idempotent request:
///   - A permit names its gate: execution_key::gate.
///   - Otherwise find(); if nothing is known, any gate of the service will do: it runs the request if it is
///   the
///     home, or else answers `wrong_home` with the home, which goes into learn(). Try that one next, with a
///     new attempt; `home_unknown` and `home_changing` are worth another try after a short pause.
///   - If the home is dead, answer may_have_run: nobody else may run its keys.
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

/// A gate that holds a slot, and the version of the table that says so.
struct known_home {
    core::endpoint_id gate;
    std::uint64_t version = 0;
};

/// Homes by service and slot.
class home_directory {
public:
    /// The home of a key, or nothing if none is known.
    [[nodiscard]] std::optional<known_home> find(const std::string& service, const std::string& key) const;

    /// Takes in what a gate said; an earlier version than the one known is ignored.
    void learn(const std::string& service, const std::string& key, const known_home& home);

    /// Forgets the home of a key if it is still `gate`, for example after that life of the gate is over.
    void forget(const std::string& service, const std::string& key, const core::endpoint_id& gate);

private:
    using slots = std::array<known_home, home_slots>;

    mutable std::mutex m_mutex;
    std::map<std::string, slots> m_services;
};

} // namespace monsoonlift::execution
