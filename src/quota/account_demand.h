/// The demand of each account over the whole fleet, as the owners of the quotas report it.
#pragma once

#include "core/clock.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::quota {

/// Demands of the accounts with limits, in calls a second, smoothed over a few seconds. Refused calls count.
/// Thread-safe; its mutex is a leaf in the lock order.
class account_demand {
public:
    explicit account_demand(const core::clock& clock) : m_clock(clock) {}

    /// Notes a report of an owner.
    void note(const std::string& account, double calls_per_second);

    /// Forgets the accounts for which `is_gone` returns true.
    template <class Predicate> void forget_if(Predicate is_gone) {
        const std::scoped_lock lock(m_mutex);
        std::erase_if(m_known, [&](const auto& each) { return is_gone(each.first); });
    }

    /// Returns the demand; nothing if no owner has reported it for some seconds.
    [[nodiscard]] std::optional<double> demand_of(std::string_view account) const;

    /// Returns all known demands.
    [[nodiscard]] std::map<std::string, double> demands() const;

private:
    struct report {
        double calls_per_second = 0;
        core::boot_time as_of;
    };

    [[nodiscard]] bool is_recent(const report& known) const;

    const core::clock& m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, report, std::less<>> m_known;
};

} // namespace monsoonlift::quota
