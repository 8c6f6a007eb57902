/// A time limit that passes while the process stands still says nothing about a peer, whose bytes may wait
/// unread. So work ends only if several turns of the process after the limit have brought nothing either.
#pragma once

#include <chrono>

namespace monsoonlift::transfer {

/// Turns of the process after a time limit, and the pause between two of them.
struct look_plan {
    unsigned most;
    std::chrono::milliseconds interval;
};

/// After a peer has been silent for too long.
inline constexpr look_plan looks_after_silence{8, std::chrono::milliseconds(250)};

/// After the deadline of a call. Callers are not kept waiting much longer than their deadline, so all looks
/// together are short.
inline constexpr look_plan looks_after_deadline{4, std::chrono::milliseconds(25)};

/// Counts the turns after one time limit.
class further_looks {
public:
    explicit further_looks(const look_plan& plan) : m_plan(plan) {}

    /// Whether to wait for interval() and look again; false if that was done often enough.
    [[nodiscard]] bool take() {
        if (m_taken == m_plan.most) {
            return false;
        }
        ++m_taken;
        return true;
    }

    [[nodiscard]] std::chrono::milliseconds interval() const { return m_plan.interval; }

private:
    look_plan m_plan;
    unsigned m_taken = 0;
};

} // namespace monsoonlift::transfer
