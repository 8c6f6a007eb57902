/// The attempts that have arrived at a gate, so that later copies of them can be told from new ones.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace monsoonlift::gate::internal {

/// Remembers the run of each attempt until a time of its own. Forgetting looks at the attempts that are due
/// alone, however many are remembered.
class attempt_memory {
public:
    /// Adds an attempt; false if it is remembered already.
    bool add(const core::attempt_id& attempt, std::uint64_t run, core::steady_time until) {
        if (!m_runs.try_emplace(attempt, run).second) {
            return false;
        }
        m_due.push({until, attempt});
        return true;
    }

    /// Returns the run of an attempt; empty if it isn't remembered.
    [[nodiscard]] std::optional<std::uint64_t> run_of(const core::attempt_id& attempt) const {
        const auto found = m_runs.find(attempt);
        return found == m_runs.end() ? std::nullopt : std::optional(found->second);
    }

    /// Forgets the attempts whose time has passed, but not those whose run `is_running`.
    template <class Predicate> void forget(core::steady_time now, const Predicate& is_running) {
        while (!m_due.empty() && m_due.top().until < now) {
            const auto attempt = m_due.top().attempt;
            m_due.pop();
            const auto known = m_runs.find(attempt);
            if (is_running(known->second)) {
                m_due.push({now + retry_interval, attempt});
            } else {
                m_runs.erase(known);
            }
        }
    }

    [[nodiscard]] std::size_t size() const { return m_runs.size(); }

private:
    /// Time until an attempt that was due while it ran is looked at again.
    static constexpr std::chrono::milliseconds retry_interval{500};

    struct due_attempt {
        core::steady_time until;
        core::attempt_id attempt;
    };

    struct is_due_later {
        bool operator()(const due_attempt& left, const due_attempt& right) const {
            return left.until > right.until;
        }
    };

    std::unordered_map<core::attempt_id, std::uint64_t, core::attempt_hash> m_runs;
    std::priority_queue<due_attempt, std::vector<due_attempt>, is_due_later> m_due; ///< Each attempt once.
};

} // namespace monsoonlift::gate::internal
