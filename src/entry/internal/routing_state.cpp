#include "entry/internal/routing_state.h"

#include <algorithm>

namespace monsoonlift::entry::internal {

namespace {

using namespace std::chrono_literals;

/// Most retries at each hop while decisions are off.
constexpr std::uint32_t unbudgeted_retries = 3;
constexpr std::chrono::nanoseconds unbudgeted_delay = 1ms;

/// Latency objective assumed for calls for which the operators set none.
constexpr std::chrono::milliseconds default_objective = 1000ms;

std::chrono::milliseconds objective_or_default(std::chrono::milliseconds objective) {
    return objective > 0ms ? objective : default_objective;
}

} // namespace

routing_state::routing_state(bool decisions_on, std::string data_centre, std::uint64_t random_seed,
                             std::size_t retry_burst, std::size_t grant_burst, bool whole_chains)
    : m_decisions_on(decisions_on), m_whole_chains(whole_chains),
      m_retries(retry::make_retry_budgets(static_cast<double>(retry_burst))), m_random(random_seed) {
    m_grants.max_tokens = m_grants.tokens = static_cast<double>(grant_burst);
    m_table.data_centre = std::move(data_centre);
}

core::root_id routing_state::draw_root() {
    const std::scoped_lock lock(m_mutex);
    core::root_id root;
    for (std::size_t index = 0; index < root.bytes.size(); index += sizeof(std::uint64_t)) {
        const std::uint64_t drawn = m_random();
        const auto* first = reinterpret_cast<const std::uint8_t*>(&drawn);
        std::copy_n(first, sizeof(drawn), root.bytes.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return root;
}

routing::route_choice routing_state::choose(const routing::route_request& request, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    if (!m_decisions_on) {
        return choose_at_random(request);
    }
    return routing::choose(m_table, request, m_random, now);
}

bool routing_state::has_untried(const routing::route_request& request) {
    const std::scoped_lock lock(m_mutex);
    return !m_decisions_on || routing::has_untried(m_table, request);
}

bool routing_state::is_known(const core::endpoint_id& endpoint) {
    const std::scoped_lock lock(m_mutex);
    return std::any_of(m_table.endpoints.begin(), m_table.endpoints.end(),
                       [&](const routing::endpoint_state& known) { return known.id == endpoint; });
}

void routing_state::record_sent(const core::endpoint_id& endpoint, bool first_attempt,
                                const budgeted_call& call, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    routing::record_sent(m_table, endpoint);
    if (!first_attempt) {
        return;
    }
    retry::record_first_attempt(m_retries);
    auto& leaf_retries = leaf_retries_of(call.service);
    if (call.made_by.is_repeat) {
        retry::charge(leaf_retries);
    } else {
        retry::record_first_attempt(leaf_retries, now);
    }
}

void routing_state::record_nested_calls(const std::string& kind, std::uint32_t nested_calls) {
    const std::scoped_lock lock(m_mutex);
    auto& makes_calls = m_makes_calls[kind];
    makes_calls = makes_calls || nested_calls > 0;
}

bool routing_state::is_leaf(const std::string& kind) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_makes_calls.find(kind);
    return m_decisions_on && found != m_makes_calls.end() && !found->second;
}

retry::leaf_budget& routing_state::leaf_retries_of(const std::string& service) {
    auto& budget = m_leaf_retries[service];
    budget.ratio = m_retries.repeats.ratio;
    budget.burst = m_retries.repeats.max_tokens;
    return budget;
}

void routing_state::record_result(const core::endpoint_id& endpoint, const routing::attempt_result& result,
                                  core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    routing::record_result(m_table, endpoint, result, now);
    if (result.succeeded) {
        routing::record_call_time(m_call_times, result.kind, result.latency);
    }
}

std::chrono::nanoseconds routing_state::likely_call_time(const std::string& kind,
                                                         std::chrono::milliseconds latency_objective) {
    const std::scoped_lock lock(m_mutex);
    return routing::likely_call_time(m_call_times, kind, objective_or_default(latency_objective));
}

void routing_state::record_chain(const std::string& kind, const admission::shed_level& met,
                                 core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    routing::record_chain(m_chains, kind, met, now);
}

std::chrono::milliseconds routing_state::return_time(std::chrono::milliseconds latency_objective) {
    const auto objective = objective_or_default(latency_objective);
    const std::scoped_lock lock(m_mutex);
    std::uniform_int_distribution<std::int64_t> any(objective.count() / 4, objective.count() * 3 / 4);
    return std::chrono::milliseconds(any(m_random));
}

admission::shed_level routing_state::chain_level(const std::string& kind, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    if (!m_decisions_on) {
        return {};
    }
    const auto rule = m_whole_chains ? routing::reported_levels : routing::chain_level_rule();
    return routing::chain_level(m_chains, kind, now, rule);
}

std::optional<std::chrono::nanoseconds> routing_state::next_attempt(core::call_context& context,
                                                                    const retry::attempt_outcome& outcome,
                                                                    const budgeted_call& call,
                                                                    core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    if (m_decisions_on) {
        auto& bucket = retry::bucket_for(m_retries, outcome.reached_server);
        const auto delay = retry::next_attempt(bucket, context, outcome, m_random, now);
        if (delay && outcome.reached_server) {
            retry::charge(leaf_retries_of(call.service));
        }
        return delay;
    }
    const bool may_repeat = outcome.run != core::verdict::ran && outcome.attempt < unbudgeted_retries;
    if (!may_repeat || now + unbudgeted_delay >= context.deadline) {
        return std::nullopt;
    }
    return unbudgeted_delay;
}

std::optional<std::chrono::nanoseconds>
routing_state::next_leaf_attempt(const core::call_context& context, const retry::attempt_outcome& outcome,
                                 const budgeted_call& call, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    return retry::next_attempt(leaf_retries_of(call.service), context, outcome, call.made_by.calls_ended,
                               m_random, now);
}

bool routing_state::may_retry(bool reached_server) {
    const std::scoped_lock lock(m_mutex);
    return retry::bucket_for(m_retries, reached_server).tokens >= 1;
}

bool routing_state::may_retry_leaf(const budgeted_call& call) {
    const std::scoped_lock lock(m_mutex);
    return retry::may_retry(leaf_retries_of(call.service), call.made_by.calls_ended);
}

void routing_state::set_retry_ratio(double ratio) {
    const std::scoped_lock lock(m_mutex);
    m_retries.repeats.ratio = ratio;
    m_grants.ratio = ratio;
}

void routing_state::grant(core::call_context& context) {
    const std::scoped_lock lock(m_mutex);
    retry::record_first_attempt(m_grants);
    static_cast<void>(retry::grant(m_grants, context));
}

void routing_state::give_back(std::uint32_t unspent) {
    const std::scoped_lock lock(m_mutex);
    retry::give_back(m_grants, unspent);
}

void routing_state::member_changed(const membership::member& changed, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    const bool gone = changed.status == membership::member_status::dead ||
                      changed.status == membership::member_status::left || changed.service.empty();
    if (gone) {
        routing::remove(m_table, changed.id);
        return;
    }
    const bool reachable = changed.status == membership::member_status::alive;
    routing::upsert(m_table, changed.id, changed.service, changed.data_centre, changed.draining, reachable,
                    now);
}

routing::route_choice routing_state::choose_at_random(const routing::route_request& request) {
    std::vector<core::endpoint_id> candidates;
    for (const auto& endpoint : m_table.endpoints) {
        if (endpoint.service == request.service && !endpoint.draining) {
            candidates.push_back(endpoint.id);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
    return {candidates[any(m_random)], {}, {}};
}

} // namespace monsoonlift::entry::internal
