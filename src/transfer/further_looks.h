/// A time limit that passes while the process stands still says nothing about a peer, whose bytes may wait
/// unread. So work ends only if several turns of the process after the limit have brought nothing either.
#pragma once

#include <chrono>

namespace monsoonlift::transfer {

/// Turns of the process after a time limit, and the pause between two of them.
inline constexpr unsigned most_looks = 8;
inline constexpr std::chrono::milliseconds look_interval{250};

/// Counts the turns after one time limit.
class further_looks {
public:
    /// Whether to wait for look_interval and look again; false if that was done often enough.
    [[nodiscard]] bool take() {
        if (m_taken == most_looks) {
            return false;
        }
        ++m_taken;
        return true;
    }

private:
    unsigned m_taken = 0;
};

} // namespace monsoonlift::transfer
