#include "gate/nested_budgets.h"

#include <utility>

namespace monsoonlift::gate {

void nested_budgets::open(std::uint64_t run, std::uint32_t attempts_left, bool is_repeat, run_origin origin) {
    const std::scoped_lock lock(m_mutex);
    m_budgets[run] = {attempts_left, 0, {}, {0, 0, is_repeat}, std::move(origin)};
}

std::optional<run_origin> nested_budgets::origin(std::uint64_t run) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    return found == m_budgets.end() ? std::nullopt : std::optional(found->second.origin);
}

std::uint32_t nested_budgets::reserve(std::uint64_t run) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    if (found == m_budgets.end()) {
        return 0;
    }
    ++found->second.progress.calls_begun;
    return std::exchange(found->second.remaining, 0);
}

void nested_budgets::give_back(std::uint64_t run, std::uint32_t unspent, std::uint32_t spent) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    if (found == m_budgets.end()) {
        return;
    }
    found->second.remaining += unspent;
    found->second.spent += spent;
    ++found->second.progress.calls_ended;
}

run_progress nested_budgets::progress(std::uint64_t run) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    return found == m_budgets.end() ? run_progress{} : found->second.progress;
}

void nested_budgets::note_level(std::uint64_t run, const admission::shed_level& met) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    if (found != m_budgets.end() && admission::is_stricter(met, found->second.strictest)) {
        found->second.strictest = met;
    }
}

admission::shed_level nested_budgets::strictest_level(std::uint64_t run) const {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    return found == m_budgets.end() ? admission::shed_level{} : found->second.strictest;
}

void nested_budgets::note_called(std::uint64_t run, const std::string& service,
                                 const admission::shed_level& own, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    if (found != m_budgets.end() && !found->second.origin.kind.empty()) {
        routing::record_called(m_downstream, found->second.origin.kind, service, own, now);
    }
}

void nested_budgets::note_below(const std::string& service, const admission::shed_level& below,
                                core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    routing::record_below(m_downstream, service, below, now);
}

admission::shed_level nested_budgets::level_below(const std::string& kind, core::steady_time now) const {
    const std::scoped_lock lock(m_mutex);
    return routing::downstream_level(m_downstream, kind, now);
}

bool nested_budgets::is_open(std::uint64_t run) const {
    const std::scoped_lock lock(m_mutex);
    return m_budgets.contains(run);
}

std::uint32_t nested_budgets::close(std::uint64_t run) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_budgets.find(run);
    if (found == m_budgets.end()) {
        return 0;
    }
    const auto spent = found->second.spent;
    m_budgets.erase(found);
    return spent;
}

} // namespace monsoonlift::gate
