#include "model/types/rules.h"
#include "model/types/scenario.h"

#include <algorithm>
#include <array>
#include <limits>

namespace monsoonlift::model {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, static_cast<std::size_t>(rule::count)> rule_names = {
    "shedding",     "early_shed",       "class_order",      "root_consistency",  "work_conserving",
    "nested_first", "queue_time_bound", "hopeless_refusal", "concurrency_bound", "learned_limit",
    "cold_ramp",    "limit_trial",      "retry_budget",     "root_grant",        "retry_ratio",
    "leaf_retries", "backoff",          "load_reports",     "latency_routing",   "success_routing",
    "local_first",  "cancellation"};

/// The outage map of a regional agency at a reduced scale: two services and three classes, of which bulk
/// refreshes grow most during the surge.
scenario overload() {
    scenario simulated;
    simulated.name = "overload";
    simulated.services = {{4, 30, 0, 10ms, 0.5, false, {1}}, {3, 20, 0, 20ms, 0.5, false, {}}};
    simulated.classes = {{"dispatch", 0, 0.2, 0.4, 1000ms, false},
                         {"map", 1, 0.2, 0.6, 1000ms, true},
                         {"refresh", 2, 0.3, 2.0, 1000ms, true}};
    simulated.surge_from = 5s;
    simulated.surge_until = 25s;
    simulated.length = 35s;
    return simulated;
}

/// Servers that run one request at a time, like the smallest ones of an agency scaled to one machine:
/// requests wait briefly long before there is overload.
scenario single_slot() {
    scenario simulated = overload();
    simulated.name = "single_slot";
    simulated.services = {{16, 1, 0, 40ms, 1.0, false, {}}};
    simulated.classes = {{"dispatch", 0, 0.25, 0.4, 1000ms, false}, {"map", 1, 0.35, 2.6, 1000ms, true}};
    return simulated;
}

/// Long requests on few slots, like those of an archive that processes photos: slots are seldom released, and
/// callers accept long waiting times.
scenario long_runs() {
    scenario simulated = single_slot();
    simulated.name = "long_runs";
    simulated.services = {{24, 4, 0, 1000ms, 0.5, false, {}}};
    for (auto& callers : simulated.classes) {
        callers.patience = 5000ms;
    }
    simulated.length = 45s;
    return simulated;
}

/// One server with two slots: a call that it refuses can't be sent to another server.
scenario lone() {
    scenario simulated = single_slot();
    simulated.name = "lone";
    simulated.services = {{1, 2, 0, 40ms, 1.0, false, {}}};
    return simulated;
}

/// The overload scenario with packet loss between data centres.
scenario delay() {
    scenario simulated = overload();
    simulated.name = "delay";
    simulated.stall_share = 0.01;
    return simulated;
}

/// Overload in which some callers leave long before their declared deadline, and others have a short
/// deadline.
scenario impatient() {
    scenario simulated = overload();
    simulated.name = "impatient";
    simulated.classes = {{"dispatch", 0, 0.2, 0.4, 1000ms, false},
                         {"hurried", 1, 0.1, 0.5, 80ms, true},
                         {"leaving", 1, 0.1, 0.5, 80ms, true, 0, 10000ms},
                         {"refresh", 2, 0.3, 1.6, 120ms, true}};
    return simulated;
}

/// Two services call the same two other services in opposite orders; both called services are overloaded.
scenario crossing() {
    scenario simulated = overload();
    simulated.name = "crossing";
    simulated.services = {{3, 400, 0, 5ms, 0.5, false, {2, 3}},
                          {3, 400, 0, 5ms, 0.5, false, {3, 2}},
                          {3, 20, 0, 20ms, 0.5, false, {}},
                          {3, 20, 0, 20ms, 0.5, false, {}}};
    simulated.classes = {{"map", 1, 0.35, 1.5, 1000ms, true}, {"news", 1, 0.35, 1.5, 1000ms, true, 1}};
    return simulated;
}

/// A service that is called by another service and, in the same class, directly by callers.
scenario shared() {
    scenario simulated = overload();
    simulated.name = "shared";
    simulated.services = {{3, 60, 0, 20ms, 0.5, false, {1}}, {3, 20, 0, 20ms, 0.5, false, {}}};
    simulated.classes = {{"nested", 1, 0.35, 1.0, 1000ms, true}, {"direct", 1, 0.35, 2.0, 1000ms, true, 1}};
    return simulated;
}

scenario chain_of(std::size_t depth, run_time fault_time) {
    scenario simulated;
    for (std::size_t service = 0; service + 1 < depth; ++service) {
        simulated.services.push_back({2, 1000, 0, 2ms, 0.5, false, {service + 1}});
    }
    const std::uint32_t deepest_slots = depth > 10 ? 4 : 10;
    simulated.services.push_back({3, deepest_slots, 0, 10ms, 0.5, false, {}});
    simulated.classes = {{"lookup", 0, 0.05, 0.05, 2000ms, true}, {"refresh", 1, 0.5, 0.5, 2000ms, true}};
    simulated.surge_from = 5s;
    simulated.surge_until = 5s + fault_time;
    simulated.length = simulated.surge_until + 10s;
    return simulated;
}

void break_service(scenario& simulated, std::size_t service, fault_kind kind) {
    for (std::size_t server = 0; server < simulated.services[service].servers; ++server) {
        simulated.faults.push_back({service, server, kind, simulated.surge_from, simulated.surge_until});
    }
}

/// A chain whose last service is ten times slower for a while.
scenario chain(std::size_t depth) {
    scenario simulated = chain_of(depth, 10s);
    simulated.name = "chain" + std::to_string(depth);
    break_service(simulated, depth - 1, fault_kind::slow);
    return simulated;
}

/// A chain whose last service refuses all requests for a while.
scenario refusing(std::size_t depth) {
    scenario simulated = chain_of(depth, 5s);
    simulated.name = "refusing" + std::to_string(depth);
    break_service(simulated, depth - 1, fault_kind::refusing);
    return simulated;
}

/// A chain of four services, of which the third makes five calls in turn to the last; all servers of that
/// refuse more than half of their requests at random for a while, with slots free.
scenario refusing_some() {
    scenario simulated;
    simulated.name = "refusing_some";
    simulated.services = {{6, 80, 0, 20ms, 0.5, false, {1}},
                          {4, 80, 0, 5ms, 0.5, false, {2}},
                          {4, 80, 0, 5ms, 0.5, false, {3, 3, 3, 3, 3}},
                          {5, 40, 0, 10ms, 0.5, false, {}}};
    simulated.classes = {{"lookup", 0, 0.01, 0.01, 2000ms, true}, {"note", 1, 0.01, 0.01, 500ms, true, 3}};
    simulated.surge_from = 12s;
    simulated.surge_until = 20s;
    simulated.length = 25s;
    simulated.caller_resends = 0;
    simulated.attempts_per_root = 4;
    simulated.grant_burst = 400;
    break_service(simulated, 3, fault_kind::refusing_some);
    for (auto& fault : simulated.faults) {
        fault.share = 0.55;
    }
    return simulated;
}

/// A chain in which no caller learns whether a call ran: the last service closes the connections, and so do
/// all services above it.
scenario breaking(std::size_t depth) {
    scenario simulated = chain_of(depth, 5s);
    simulated.name = "breaking" + std::to_string(depth);
    for (std::size_t service = 0; service + 1 < depth; ++service) {
        break_service(simulated, service, fault_kind::closing_on_error);
    }
    break_service(simulated, depth - 1, fault_kind::breaking);
    return simulated;
}

/// One server fails fast, another is ten times slower; both report themselves idle.
scenario mislead() {
    scenario simulated;
    simulated.name = "mislead";
    simulated.services = {{8, 20, 0, 20ms, 0.5, false, {}}};
    simulated.classes = {{"lookup", 0, 0.2, 0.2, 1000ms, true}, {"refresh", 1, 0.4, 0.4, 1000ms, true}};
    simulated.surge_from = 5s;
    simulated.surge_until = 25s;
    simulated.length = 32s;
    simulated.caller_resends = 0;
    simulated.faults = {{0, 0, fault_kind::failing_fast, simulated.surge_from, simulated.surge_until},
                        {0, 1, fault_kind::slow_reported_idle, simulated.surge_from, simulated.surge_until}};
    return simulated;
}

/// One server is ten times slower and reports itself idle; callers leave long before their declared deadline,
/// so nearly all of its calls end without an answer.
scenario leaving() {
    scenario simulated = mislead();
    simulated.name = "leaving";
    simulated.classes = {{"lookup", 0, 0.2, 0.2, 100ms, true, 0, 10000ms},
                         {"refresh", 1, 0.4, 0.4, 100ms, true, 0, 10000ms}};
    simulated.faults = {{0, 1, fault_kind::slow_reported_idle, simulated.surge_from, simulated.surge_until}};
    return simulated;
}

/// Half of the servers restart together and are cold for a while.
scenario cold() {
    scenario simulated = mislead();
    simulated.name = "cold";
    simulated.services = {{8, 20, 0, 20ms, 0.5, false, {}}};
    simulated.surge_until = 8s;
    simulated.length = 15s;
    simulated.classes = {{"lookup", 0, 0.2, 0.2, 300ms, true}, {"refresh", 1, 0.4, 0.4, 300ms, true}};
    simulated.faults.clear();
    for (std::size_t server = 0; server < 4; ++server) {
        simulated.faults.push_back(
            {0, server, fault_kind::cold, simulated.surge_from, simulated.surge_until});
    }
    return simulated;
}

/// All servers restart together while the demand is three times the capacity.
scenario cold_overload() {
    scenario simulated = cold();
    simulated.name = "cold_overload";
    simulated.classes = overload().classes;
    for (std::size_t server = 4; server < 8; ++server) {
        simulated.faults.push_back(
            {0, server, fault_kind::cold, simulated.surge_from, simulated.surge_until});
    }
    return simulated;
}

/// All servers restart together under normal load.
scenario cold_all() {
    scenario simulated = cold_overload();
    simulated.name = "cold_all";
    simulated.classes = cold().classes;
    return simulated;
}

/// The cold_all scenario with servers whose throughput falls as they run more requests while they are cold.
scenario cold_contended() {
    scenario simulated = cold_all();
    simulated.name = "cold_contended";
    for (auto& fault : simulated.faults) {
        fault.kind = fault_kind::cold_contended;
    }
    return simulated;
}

/// One of four servers is ten times slower and reports its true load, under normal load.
scenario slowed() {
    scenario simulated = mislead();
    simulated.name = "slowed";
    simulated.services = {{4, 20, 0, 20ms, 0.5, false, {}}};
    simulated.caller_resends = 3;
    simulated.faults = {{0, 0, fault_kind::slow, simulated.surge_from, simulated.surge_until}};
    return simulated;
}

/// The first `servers` of four servers lose capacity for a while through a fault of this kind.
scenario degraded(const std::string& name, std::size_t servers, fault_kind kind) {
    scenario simulated = slowed();
    simulated.name = name;
    simulated.classes = overload().classes;
    for (auto& callers : simulated.classes) {
        callers.surge = callers.load * 1.1;
    }
    simulated.faults.clear();
    for (std::size_t server = 0; server < servers; ++server) {
        simulated.faults.push_back({0, server, kind, simulated.surge_from, simulated.surge_until});
    }
    return simulated;
}

/// Servers that really run only half as many requests at once as configured.
scenario overstated() {
    scenario simulated = overload();
    simulated.name = "overstated";
    simulated.services = {{4, 40, 20, 20ms, 0.5, false, {}}};
    return simulated;
}

/// The overstated scenario with servers that refuse requests beyond their real slots instead of queueing
/// them.
scenario refusing_excess() {
    scenario simulated = overstated();
    simulated.name = "refusing_excess";
    simulated.services[0].refuses_excess = true;
    return simulated;
}

/// A service whose runs make eight calls one after another at a small one, called through 80 daemons.
/// `surge` is the demand during the surge as a multiple of what the small service can serve.
scenario fan(const std::string& name, double surge, run_time length) {
    constexpr std::size_t calls = 8;
    scenario simulated;
    simulated.name = name;
    simulated.services = {{76, 20, 0, 20ms, 0.5, false, std::vector<std::size_t>(calls, 1)},
                          {4, 20, 0, 22ms, 0.5, false, {}}};
    simulated.classes = {{"lookup", 1, 0.7 / calls, surge / calls, 1200ms, true}};
    simulated.data_centres = 3;
    simulated.local_delay = 500us;
    simulated.remote_delay = 500us;
    simulated.surge_from = 5s;
    simulated.surge_until = 5s + length;
    simulated.length = simulated.surge_until + 5s;
    simulated.caller_resends = 0;
    return simulated;
}

/// Bursts of 2 s at twice the capacity, every 4 s.
scenario fan_bursts() {
    scenario simulated = fan("fan_bursts", 2, 16s);
    simulated.surge_every = 4s;
    simulated.burst_length = 2s;
    return simulated;
}

std::vector<scenario> all_scenarios() {
    return {overload(),
            single_slot(),
            long_runs(),
            lone(),
            delay(),
            impatient(),
            crossing(),
            shared(),
            chain(5),
            chain(29),
            refusing(29),
            refusing_some(),
            breaking(5),
            breaking(29),
            mislead(),
            leaving(),
            cold(),
            cold_all(),
            cold_overload(),
            cold_contended(),
            slowed(),
            degraded("halved", 4, fault_kind::halved),
            degraded("halved_one", 1, fault_kind::halved),
            degraded("strained", 4, fault_kind::strained),
            degraded("strained_one", 1, fault_kind::strained),
            overstated(),
            refusing_excess(),
            fan("fan_1.2", 1.2, 10s),
            fan("fan_2", 2, 10s),
            fan("fan_5", 5, 10s),
            fan("fan_burst", 2, 2s),
            fan_bursts()};
}

} // namespace

std::string_view to_string(rule value) {
    return rule_names.at(static_cast<std::size_t>(value));
}

std::optional<rule> parse_rule(std::string_view text) {
    const auto found = std::find(rule_names.begin(), rule_names.end(), text);
    if (found == rule_names.end()) {
        return std::nullopt;
    }
    return static_cast<rule>(found - rule_names.begin());
}

rule_set pass_through() {
    rule_set none;
    none.on.reset();
    none.order = admission::queue_order::first_come;
    return none;
}

double capacity_of(const scenario& simulated) {
    double lowest = std::numeric_limits<double>::max();
    for (const auto& spec : simulated.services) {
        const std::uint32_t slots = spec.real_slots == 0 ? spec.slots : spec.real_slots;
        const double seconds = std::chrono::duration<double>(spec.service_time).count();
        lowest = std::min(lowest, static_cast<double>(spec.servers * slots) / seconds);
    }
    return lowest;
}

std::optional<scenario> find_scenario(const std::string& name) {
    for (auto& known : all_scenarios()) {
        if (known.name == name) {
            return known;
        }
    }
    return std::nullopt;
}

std::vector<std::string> scenario_names() {
    std::vector<std::string> names;
    for (const auto& known : all_scenarios()) {
        names.push_back(known.name);
    }
    return names;
}

} // namespace monsoonlift::model
