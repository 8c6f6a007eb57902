#include "quota/account_demand.h"

#include "quota/quota_rules.h"

namespace monsoonlift::quota {

namespace {

/// Reports that may be missed before a demand counts as unknown.
constexpr int missed_reports = 5;

} // namespace

bool account_demand::is_recent(const report& known) const {
    return m_clock.boot_now() - known.as_of <= missed_reports * demands_interval;
}

void account_demand::note(const std::string& account, double calls_per_second) {
    const std::scoped_lock lock(m_mutex);
    m_known[account] = {calls_per_second, m_clock.boot_now()};
}

std::optional<double> account_demand::demand_of(std::string_view account) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_known.find(account);
    const bool is_known = found != m_known.end() && is_recent(found->second);
    return is_known ? std::optional(found->second.calls_per_second) : std::nullopt;
}

std::map<std::string, double> account_demand::demands() const {
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, double> all;
    for (const auto& [account, known] : m_known) {
        if (is_recent(known)) {
            all.emplace(account, known.calls_per_second);
        }
    }
    return all;
}

} // namespace monsoonlift::quota
