#pragma once

#include "entry/types/account_use.h"
#include "entry/types/problem.h"
#include "metrics/counter_row.h"
#include "metrics/metrics_registry.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace monsoonlift::entry::internal {

/// Counters of one client account's root calls at an entry.
struct account_count {
    account_count(metrics::metrics_registry& registry, const std::string& account);

    metrics::counter& calls;
    metrics::counter& answered;
    metrics::counter_row problems; ///< One counter per reason, in the order of the names in the source file.
};

/// Counts an answer of a backend server; does nothing without an account.
void count_answered(const account_count* account);

/// Counts a problem document sent in place of an answer, by its reason; does nothing without an account.
void count_problem(const account_count* account, const problem& trouble);

/// Counters by client account. The first `most_accounts` accounts that call have counters of their own, which
/// stay for the life of the process, so that totals never decrease; the others share those named "other".
/// Thread-safe; its mutex is a leaf in the lock order.
class account_counts {
public:
    static constexpr std::size_t most_accounts = 100;
    static constexpr auto other_name = "other";

    explicit account_counts(metrics::metrics_registry& registry) : m_registry(registry) {}

    /// Counts a root call of the account and returns the account's counters; nullptr, at the cost of one
    /// comparison, if `account` is empty.
    [[nodiscard]] account_count* count_call(const std::string& account);

    /// Returns the totals, sorted by name.
    [[nodiscard]] std::vector<account_use> uses() const;

private:
    [[nodiscard]] account_count* find(const std::string& account) const;
    [[nodiscard]] std::string name_for(const std::string& account) const;
    [[nodiscard]] account_count& add(const std::string& account);

    metrics::metrics_registry& m_registry;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::unique_ptr<account_count>> m_accounts;
};

} // namespace monsoonlift::entry::internal
