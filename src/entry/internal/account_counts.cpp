#include "entry/internal/account_counts.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace monsoonlift::entry::internal {

namespace {

/// Reasons by which problems are counted; types not listed count as other. The list bounds the number of
/// counters per account.
constexpr std::array<std::string_view, 9> reasons{
    "quota-exceeded", "quota-unavailable", "configuration-outdated",
    "shed",           "no-backend-server", "deadline",
    "backend-failed", "draining",          "other"};

std::size_t position_of(const problem& trouble) {
    const auto* found = std::find(reasons.begin(), reasons.end() - 1, std::string_view(trouble.type));
    return static_cast<std::size_t>(found - reasons.begin());
}

std::string label_of(const std::string& account) {
    return metrics::label("account", account);
}

account_use use_of(const std::string& name, const account_count& counted) {
    account_use use{name, counted.calls.value(), counted.answered.value(), {}};
    for (std::size_t position = 0; position < reasons.size(); ++position) {
        const auto total = counted.problems.at(position).value();
        if (total > 0) {
            use.refused.emplace_back(reasons.at(position), total);
        }
    }
    return use;
}

} // namespace

account_count::account_count(metrics::metrics_registry& registry, const std::string& account)
    : calls(registry.add_counter("monsoonlift_account_calls_total", "Root calls of a client account.",
                                 label_of(account))),
      answered(registry.add_counter("monsoonlift_account_calls_answered_total",
                                    "Root calls of a client account that a backend server answered.",
                                    label_of(account))),
      problems(registry, "monsoonlift_account_calls_refused_total",
               "Problem documents given to a client account instead of an answer, by reason.",
               label_of(account), "reason", reasons) {}

void count_answered(const account_count* account) {
    if (account != nullptr) {
        account->answered.add();
    }
}

void count_problem(const account_count* account, const problem& trouble) {
    if (account != nullptr) {
        account->problems.at(position_of(trouble)).add();
    }
}

account_count* account_counts::count_call(const std::string& account) {
    if (account.empty()) {
        return nullptr;
    }
    auto* counted = find(account);
    if (counted == nullptr) {
        counted = &add(account);
    }
    counted->calls.add();
    return counted;
}

std::vector<account_use> account_counts::uses() const {
    const std::shared_lock lock(m_mutex);
    std::vector<account_use> all;
    for (const auto& [name, counted] : m_accounts) {
        all.push_back(use_of(name, *counted));
    }
    return all;
}

account_count* account_counts::find(const std::string& account) const {
    const std::shared_lock lock(m_mutex);
    auto found = m_accounts.find(account);
    if (found == m_accounts.end() && m_accounts.size() > most_accounts) {
        found = m_accounts.find(other_name);
    }
    return found == m_accounts.end() ? nullptr : found->second.get();
}

std::string account_counts::name_for(const std::string& account) const {
    const std::shared_lock lock(m_mutex);
    const auto own = m_accounts.size() - (m_accounts.contains(other_name) ? 1 : 0);
    return own < most_accounts ? account : other_name;
}

account_count& account_counts::add(const std::string& account) {
    const auto name = name_for(account);
    // NOTE: made before the lock is taken, as the registry has a lock of its own. Threads that add at the
    // same time can exceed the bound by their number.
    auto made = std::make_unique<account_count>(m_registry, name);
    const std::scoped_lock lock(m_mutex);
    return *m_accounts.emplace(name, std::move(made)).first->second;
}

} // namespace monsoonlift::entry::internal
