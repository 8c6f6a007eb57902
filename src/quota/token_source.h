/// Where the entry gets the tokens of root calls whose account has a limit.
#pragma once

#include "core/clock.h"
#include "quota/held_tokens.h"

#include <functional>
#include <string>

namespace monsoonlift::quota {

/// Gives tokens to calls. Thread-safe.
class token_source {
public:
    /// Receives the decision about a call that waits.
    using handler = std::function<void(token_decision)>;

    token_source() = default;
    token_source(const token_source&) = delete;
    token_source& operator=(const token_source&) = delete;
    virtual ~token_source() = default;

    /// Decides about a root call of `account`. If it has to wait, calls `done` once, on any thread, after at
    /// most longest_wait and not later than `deadline`; otherwise never.
    [[nodiscard]] virtual token_decision take(const std::string& account, core::steady_time deadline,
                                              handler done) = 0;

    /// Gives back the token of a call that reached no backend server.
    virtual void give_back(const taken_token& token) = 0;
};

} // namespace monsoonlift::quota
