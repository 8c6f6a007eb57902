#include "routing/routing_table.h"

#include "admission/shedding.h"

#include <algorithm>
#include <cmath>

namespace monsoonlift::routing {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds report_age_constant{1}; ///< A report's weight falls to 1/e after this time.
constexpr milliseconds level_lifetime{500};            ///< A reported threshold is used for this time.
constexpr double unknown_latency_s = 0.005;
constexpr double remote_cost_s = 0.008;  ///< Assumed round trip between data centres.
constexpr double load_exponent = 4;      ///< Calls begin to wait well before all slots are taken.
constexpr std::size_t most_compared = 4; ///< Endpoints compared locally, and as many in other data centres.
constexpr double newest_weight = 0.1;
/// Weight of one latency in the smoothed latency of a service or of a kind of call.
constexpr double typical_weight = 0.02;
/// A local endpoint is preferred up to this multiple of the cost of a remote one, because latencies scatter
/// and links between data centres are expensive; see choose_among.
constexpr double remote_margin = 2;
/// A call has time to spare if it is expected to take at most this share of the time until its deadline.
constexpr double ample_share = 0.5;
constexpr double newest_weight_if_stale = 0.5;
constexpr milliseconds stale_after{500}; ///< An endpoint may be probed after this time without a result.
constexpr double healthy_success = 0.5;  ///< Success above which a peer shows that the service itself works.
/// Added to both success rates of a comparison, so that differences between small rates count little.
constexpr double success_margin = 0.1;
constexpr double failing_share = 0.5; ///< A server below this share of its best peer's success is avoided.
constexpr milliseconds first_avoidance{500};
constexpr std::uint32_t most_doublings = 4;
constexpr double probe_share = 0.01; ///< Share of idempotent calls that are sent to stale endpoints.

double seconds_of(core::steady_time::duration time) {
    return std::chrono::duration<double>(time).count();
}

bool is_excluded(const route_request& request, const core::endpoint_id& id) {
    return std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end();
}

/// Returns whether membership and earlier attempts of the call allow it to be sent to the endpoint.
bool is_usable(const endpoint_state& endpoint, const route_request& request) {
    return !endpoint.draining && endpoint.reachable && !is_excluded(request, endpoint.id);
}

bool has_fresh_level(const endpoint_state& endpoint, core::steady_time now) {
    return now - endpoint.reported <= level_lifetime;
}

bool is_avoided(const endpoint_state& endpoint, core::steady_time now) {
    return endpoint.avoided_until > now;
}

/// The best values among the usable endpoints of a service, to which each endpoint is compared.
struct peer_best {
    double success = 0;
};

double relative_success(const endpoint_state& endpoint, const peer_best& best) {
    return (endpoint.success + success_margin) / (best.success + success_margin);
}

double expected_latency_s(const routing_table& table, const endpoint_state& endpoint) {
    if (endpoint.latency_s > 0) {
        return endpoint.latency_s;
    }
    return endpoint.data_centre == table.data_centre ? unknown_latency_s : unknown_latency_s + remote_cost_s;
}

/// Returns the number of calls outstanding at the endpoint, including the one to be sent, divided by its
/// concurrency limit.
double expected_load(const endpoint_state& endpoint, core::steady_time now) {
    const double weight = std::exp(-seconds_of(now - endpoint.reported) / seconds_of(report_age_constant));
    const double reported = static_cast<double>(endpoint.report.running) + endpoint.report.waiting;
    const double outstanding =
        std::max(weight * reported + endpoint.sent_since_report, static_cast<double>(endpoint.in_flight)) + 1;
    return outstanding / std::max(1U, endpoint.report.limit);
}

/// Returns the expected time until an answer, increased for the risk of a failure.
double expected_cost(const routing_table& table, const endpoint_state& endpoint, const peer_best& best,
                     core::steady_time now) {
    const double latency = expected_latency_s(table, endpoint);
    const double load = expected_load(endpoint, now);
    return latency * (1 + std::pow(load, load_exponent)) / relative_success(endpoint, best);
}

/// Returns the endpoint with the lowest expected cost of `most_compared` consecutive candidates, beginning at
/// a random position; `candidates` must not be empty.
std::size_t best_of_few(const routing_table& table, const std::vector<std::size_t>& candidates,
                        const peer_best& best, random_engine& random, core::steady_time now) {
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random);
    std::size_t chosen = candidates[first];
    double lowest = expected_cost(table, table.endpoints[chosen], best, now);
    for (std::size_t step = 1; step < std::min(most_compared, candidates.size()); ++step) {
        const std::size_t next = candidates[(first + step) % candidates.size()];
        const double cost = expected_cost(table, table.endpoints[next], best, now);
        if (cost < lowest) {
            lowest = cost;
            chosen = next;
        }
    }
    return chosen;
}

struct candidate_lists {
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    std::vector<std::size_t> avoided;
    std::optional<std::size_t> stalest; ///< Idle endpoint with the oldest result, at least `stale_after` old.
    peer_best best;
    std::size_t usable = 0;
    admission::shed_level level; ///< Median threshold of the usable endpoints.
    bool admitted = false;       ///< Whether `level` admits the call.
};

void update_stalest(const routing_table& table, std::size_t position, core::steady_time now,
                    std::optional<std::size_t>& stalest) {
    const auto& endpoint = table.endpoints[position];
    if (endpoint.in_flight > 0 || now - endpoint.last_result < stale_after) {
        return;
    }
    if (!stalest || endpoint.last_result < table.endpoints[*stalest].last_result) {
        stalest = position;
    }
}

candidate_lists list_candidates(const routing_table& table, const std::vector<std::size_t>& positions,
                                const route_request& request, core::steady_time now) {
    candidate_lists lists;
    std::vector<admission::shed_level> levels;
    levels.reserve(positions.size());
    for (const std::size_t position : positions) {
        const auto& endpoint = table.endpoints[position];
        if (!is_usable(endpoint, request)) {
            continue;
        }
        ++lists.usable;
        lists.best.success = std::max(lists.best.success, endpoint.success);
        if (has_fresh_level(endpoint, now)) {
            levels.push_back(endpoint.report.level);
        }
        update_stalest(table, position, now, lists.stalest);
        if (is_avoided(endpoint, now)) {
            lists.avoided.push_back(position);
        } else if (endpoint.data_centre == table.data_centre) {
            lists.local.push_back(position);
        } else {
            lists.remote.push_back(position);
        }
    }
    // NOTE: with the most lenient level, a single endpoint would get all the calls that the others refuse.
    lists.level = admission::median_level(std::move(levels));
    lists.admitted = admission::admits(lists.level, request.context);
    return lists;
}

/// Returns the endpoint with the oldest result for a small share of the idempotent calls, to refresh its
/// state.
std::optional<std::size_t> choose_probe(const candidate_lists& lists, const core::call_context& context,
                                        random_engine& random) {
    if (!lists.stalest || !context.idempotent || !std::bernoulli_distribution(probe_share)(random)) {
        return std::nullopt;
    }
    return lists.stalest;
}

/// Returns the ratio of the typical latency of a kind of call to that of its service; 1 if unknown.
double kind_factor(const routing_table& table, const std::string& service, const std::string& kind) {
    const auto known = table.typical_latency.find(service);
    if (known == table.typical_latency.end() || known->second.service_s <= 0) {
        return 1;
    }
    const auto of_kind = known->second.kind_s.find(kind);
    return of_kind == known->second.kind_s.end() ? 1 : of_kind->second / known->second.service_s;
}

/// Returns whether a call at the endpoint is expected to end well before its deadline.
bool has_time_to_spare(const routing_table& table, const endpoint_state& endpoint,
                       const route_request& request, double cost, core::steady_time now) {
    return cost * kind_factor(table, endpoint.service, request.kind) <=
           ample_share * seconds_of(request.context.deadline - now);
}

/// Returns a local endpoint, unless one in another data centre is better by `remote_margin`. A call with
/// little time left is sent wherever it is expected to end first. This limits the traffic on expensive links,
/// but keeps slow local endpoints from causing timeouts.
std::size_t choose_among(const routing_table& table, const candidate_lists& lists,
                         const route_request& request, random_engine& random, core::steady_time now) {
    const auto& best = lists.best;
    if (lists.local.empty() && lists.remote.empty()) {
        return best_of_few(table, lists.avoided, best, random, now);
    }
    if (lists.local.empty()) {
        return best_of_few(table, lists.remote, best, random, now);
    }
    const std::size_t local = best_of_few(table, lists.local, best, random, now);
    if (lists.remote.empty()) {
        return local;
    }
    const std::size_t remote = best_of_few(table, lists.remote, best, random, now);
    const double local_cost = expected_cost(table, table.endpoints[local], best, now);
    const double remote_cost = expected_cost(table, table.endpoints[remote], best, now);
    const bool may_wait = has_time_to_spare(table, table.endpoints[local], request, local_cost, now);
    return local_cost <= remote_cost * (may_wait ? remote_margin : 1) ? local : remote;
}

endpoint_state* find(routing_table& table, const core::endpoint_id& id) {
    const auto found = table.by_address.find(id.address);
    if (found == table.by_address.end() || table.endpoints[found->second].id.life != id.life) {
        return nullptr;
    }
    return &table.endpoints[found->second];
}

void rebuild_index(routing_table& table) {
    table.by_address.clear();
    table.by_service.clear();
    for (std::size_t position = 0; position < table.endpoints.size(); ++position) {
        table.by_address[table.endpoints[position].id.address] = position;
        table.by_service[table.endpoints[position].service].push_back(position);
    }
}

void index_under_service(routing_table& table, std::size_t position, const std::string& former) {
    const auto old = table.by_service.find(former);
    if (old != table.by_service.end()) {
        std::erase(old->second, position);
    }
    table.by_service[table.endpoints[position].service].push_back(position);
}

double best_success(const routing_table& table, const std::string& service) {
    double best = 0;
    for (const std::size_t position : table.by_service.at(service)) {
        const auto& endpoint = table.endpoints[position];
        if (endpoint.reachable && !endpoint.draining) {
            best = std::max(best, endpoint.success);
        }
    }
    return best;
}

void update_typical(double& typical_s, double seconds) {
    typical_s += typical_weight * (seconds - typical_s);
}

/// Returns the latency normalized to that of an average call of the service, so that an endpoint that
/// received many long calls is not considered slow.
double comparable_latency_s(routing_table& table, const std::string& service, const attempt_result& outcome) {
    const double seconds = std::chrono::duration<double>(outcome.latency).count();
    auto& typical = table.typical_latency.try_emplace(service, typical_latencies{seconds, {}}).first->second;
    auto& kind_s = typical.kind_s.try_emplace(outcome.kind, seconds).first->second;
    update_typical(typical.service_s, seconds);
    update_typical(kind_s, seconds);
    return kind_s > 0 ? seconds * typical.service_s / kind_s : seconds;
}

void update_latency(endpoint_state& endpoint, double seconds, double weight) {
    endpoint.latency_s =
        endpoint.latency_s == 0 ? seconds : endpoint.latency_s + weight * (seconds - endpoint.latency_s);
}

/// Updates the success rate of an endpoint and avoids it if it fails far more often than its peers. If all
/// fail alike, the cause lies further down the call chain, and avoiding some of them would not help.
void update_success(const routing_table& table, endpoint_state& endpoint, bool succeeded, double weight,
                    core::steady_time now) {
    endpoint.success += weight * ((succeeded ? 1.0 : 0.0) - endpoint.success);
    if (succeeded) {
        endpoint.avoided_times = 0;
        return;
    }
    if (is_avoided(endpoint, now)) {
        return;
    }
    const double best = best_success(table, endpoint.service);
    if (best > healthy_success && endpoint.success < failing_share * best) {
        endpoint.avoided_until = now + first_avoidance * (1 << endpoint.avoided_times);
        endpoint.avoided_times = std::min(endpoint.avoided_times + 1, most_doublings);
    }
}

void fill_evidence(route_evidence& evidence, const routing_table& table, const endpoint_state& chosen,
                   core::steady_time now) {
    evidence.is_local = chosen.data_centre == table.data_centre;
    evidence.report = chosen.report;
    evidence.report_age = now - chosen.reported;
    evidence.in_flight = chosen.in_flight;
}

} // namespace

route_choice choose(routing_table& table, const route_request& request, random_engine& random,
                    core::steady_time now) {
    const auto found = table.by_service.find(request.service);
    if (found == table.by_service.end() || found->second.empty()) {
        return {std::nullopt, no_route::unknown_service, {}};
    }
    const candidate_lists lists = list_candidates(table, found->second, request, now);
    route_evidence evidence;
    evidence.usable = lists.usable;
    evidence.level = lists.level;
    if (lists.usable == 0) {
        return {std::nullopt, no_route::all_excluded, evidence};
    }
    if (!lists.admitted) {
        return {std::nullopt, no_route::shed, evidence};
    }
    const auto probe = choose_probe(lists, request.context, random);
    const std::size_t chosen = probe ? *probe : choose_among(table, lists, request, random, now);
    evidence.is_probe = probe.has_value();
    fill_evidence(evidence, table, table.endpoints[chosen], now);
    return {table.endpoints[chosen].id, no_route::unknown_service, evidence};
}

bool has_untried(const routing_table& table, const route_request& request) {
    const auto found = table.by_service.find(request.service);
    return found != table.by_service.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](std::size_t position) { return is_usable(table.endpoints[position], request); });
}

void record_sent(routing_table& table, const core::endpoint_id& endpoint) {
    if (auto* state = find(table, endpoint)) {
        ++state->in_flight;
        ++state->sent_since_report;
    }
}

void record_result(routing_table& table, const core::endpoint_id& endpoint, const attempt_result& outcome,
                   core::steady_time now) {
    auto* state = find(table, endpoint);
    if (state == nullptr) {
        return;
    }
    state->in_flight -= state->in_flight > 0 ? 1 : 0;
    if (outcome.report) {
        state->report = *outcome.report;
        state->reported = now;
        state->sent_since_report = 0;
    }
    if (outcome.shed) {
        return;
    }
    const bool stale = now - state->last_result > stale_after;
    const double weight = stale ? newest_weight_if_stale : newest_weight;
    state->last_result = now;
    if (outcome.succeeded) {
        update_latency(*state, comparable_latency_s(table, state->service, outcome), weight);
    }
    update_success(table, *state, outcome.succeeded, weight, now);
}

void upsert(routing_table& table, const core::endpoint_id& endpoint, const std::string& service,
            const std::string& data_centre, bool draining, bool reachable, core::steady_time now) {
    const auto [found, added] = table.by_address.try_emplace(endpoint.address, table.endpoints.size());
    const std::size_t position = found->second;
    if (added) {
        table.endpoints.emplace_back();
        table.endpoints.back().id = endpoint;
        table.endpoints.back().reported = now;
    }
    auto& state = table.endpoints[position];
    if (state.id.life.value > endpoint.life.value) {
        return;
    }
    if (state.id.life.value < endpoint.life.value) {
        const std::string indexed_service = state.service;
        state = endpoint_state{};
        state.id = endpoint;
        state.service = indexed_service;
        state.reported = now;
    }
    const bool moved = state.service != service;
    const std::string former = state.service;
    state.service = service;
    state.data_centre = data_centre;
    state.draining = draining;
    state.reachable = reachable;
    if (moved) {
        index_under_service(table, position, former);
    }
}

void remove(routing_table& table, const core::endpoint_id& endpoint) {
    if (find(table, endpoint) == nullptr) {
        return;
    }
    std::erase_if(table.endpoints, [&](const endpoint_state& state) { return state.id == endpoint; });
    rebuild_index(table);
}

} // namespace monsoonlift::routing
