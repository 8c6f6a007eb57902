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
    "backoff",      "load_reports",     "latency_routing",  "success_routing",   "local_first",
    "cancellation"};

/// The outage map of a regional agency, scaled down: two services, three classes, bulk refreshes grow most.
scenario overload() {
    scenario played;
    played.name = "overload";
    played.services = {{4, 30, 0, 10ms, 0.5, false, {1}}, {3, 20, 0, 20ms, 0.5, false, {}}};
    played.classes = {{"dispatch", 0, 0.2, 0.4, 1000ms, false},
                      {"map", 1, 0.2, 0.6, 1000ms, true},
                      {"refresh", 2, 0.3, 2.0, 1000ms, true}};
    played.surge_from = 5s;
    played.surge_until = 25s;
    played.length = 35s;
    return played;
}

/// Servers that run one request at a time, as the smallest of an agency scaled to one machine do: requests
/// wait for a moment long before there is overload.
scenario single_slot() {
    scenario played = overload();
    played.name = "single_slot";
    played.services = {{16, 1, 0, 40ms, 1.0, false, {}}};
    played.classes = {{"dispatch", 0, 0.25, 0.4, 1000ms, false}, {"map", 1, 0.35, 2.6, 1000ms, true}};
    return played;
}

/// Long runs on few slots, as of an archive that works through photos: a slot seldom comes free, and callers
/// wait for it gladly.
scenario long_runs() {
    scenario played = single_slot();
    played.name = "long_runs";
    played.services = {{24, 4, 0, 1000ms, 0.5, false, {}}};
    for (auto& callers : played.classes) {
        callers.patience = 5000ms;
    }
    played.length = 45s;
    return played;
}

/// One server of two slots: a call that it refuses has nowhere else to go.
scenario lone() {
    scenario played = single_slot();
    played.name = "lone";
    played.services = {{1, 2, 0, 40ms, 1.0, false, {}}};
    return played;
}

/// The same with packet loss between data centres.
scenario delay() {
    scenario played = overload();
    played.name = "delay";
    played.stall_share = 0.01;
    return played;
}

/// Callers hang up long before the deadline that they name, and some name a short one.
scenario impatient() {
    scenario played = overload();
    played.name = "impatient";
    played.classes = {{"dispatch", 0, 0.2, 0.4, 1000ms, false},
                      {"hurried", 1, 0.1, 0.5, 80ms, true},
                      {"leaving", 1, 0.1, 0.5, 80ms, true, 0, 10000ms},
                      {"refresh", 2, 0.3, 1.6, 120ms, true}};
    return played;
}

/// Two services that call the same two others, in opposite orders; both of these are overloaded.
scenario crossing() {
    scenario played = overload();
    played.name = "crossing";
    played.services = {{3, 400, 0, 5ms, 0.5, false, {2, 3}},
                       {3, 400, 0, 5ms, 0.5, false, {3, 2}},
                       {3, 20, 0, 20ms, 0.5, false, {}},
                       {3, 20, 0, 20ms, 0.5, false, {}}};
    played.classes = {{"map", 1, 0.35, 1.5, 1000ms, true}, {"news", 1, 0.35, 1.5, 1000ms, true, 1}};
    return played;
}

/// A service called by another and by callers of the same class directly.
scenario shared() {
    scenario played = overload();
    played.name = "shared";
    played.services = {{3, 60, 0, 20ms, 0.5, false, {1}}, {3, 20, 0, 20ms, 0.5, false, {}}};
    played.classes = {{"nested", 1, 0.35, 1.0, 1000ms, true}, {"direct", 1, 0.35, 2.0, 1000ms, true, 1}};
    return played;
}

scenario chain_of(std::size_t depth, run_time fault_time) {
    scenario played;
    for (std::size_t service = 0; service + 1 < depth; ++service) {
        played.services.push_back({2, 1000, 0, 2ms, 0.5, false, {service + 1}});
    }
    const std::uint32_t deepest_slots = depth > 10 ? 4 : 10;
    played.services.push_back({3, deepest_slots, 0, 10ms, 0.5, false, {}});
    played.classes = {{"lookup", 0, 0.05, 0.05, 2000ms, true}, {"refresh", 1, 0.5, 0.5, 2000ms, true}};
    played.surge_from = 5s;
    played.surge_until = 5s + fault_time;
    played.length = played.surge_until + 10s;
    return played;
}

void break_service(scenario& played, std::size_t service, fault_kind kind) {
    for (std::size_t server = 0; server < played.services[service].servers; ++server) {
        played.faults.push_back({service, server, kind, played.surge_from, played.surge_until});
    }
}

/// A chain whose last service slows tenfold for a while.
scenario chain(std::size_t depth) {
    scenario played = chain_of(depth, 10s);
    played.name = "chain" + std::to_string(depth);
    break_service(played, depth - 1, fault_kind::slow);
    return played;
}

/// A chain whose last service refuses everything for a while.
scenario refusing(std::size_t depth) {
    scenario played = chain_of(depth, 5s);
    played.name = "refusing" + std::to_string(depth);
    break_service(played, depth - 1, fault_kind::refusing);
    return played;
}

/// A chain in which nobody learns whether a call ran: the last service breaks off, and so do all above it.
scenario breaking(std::size_t depth) {
    scenario played = chain_of(depth, 5s);
    played.name = "breaking" + std::to_string(depth);
    for (std::size_t service = 0; service + 1 < depth; ++service) {
        break_service(played, service, fault_kind::losing);
    }
    break_service(played, depth - 1, fault_kind::breaking);
    return played;
}

/// One server fails fast, another is ten times slower; both report themselves idle.
scenario mislead() {
    scenario played;
    played.name = "mislead";
    played.services = {{8, 20, 0, 20ms, 0.5, false, {}}};
    played.classes = {{"lookup", 0, 0.2, 0.2, 1000ms, true}, {"refresh", 1, 0.4, 0.4, 1000ms, true}};
    played.surge_from = 5s;
    played.surge_until = 25s;
    played.length = 32s;
    played.caller_resends = 0;
    played.faults = {{0, 0, fault_kind::failing_fast, played.surge_from, played.surge_until},
                     {0, 1, fault_kind::slow_lying, played.surge_from, played.surge_until}};
    return played;
}

/// One server is ten times slower and reports itself idle; callers leave long before the deadline that they
/// name, so nearly all of its calls end without an answer.
scenario leaving() {
    scenario played = mislead();
    played.name = "leaving";
    played.classes = {{"lookup", 0, 0.2, 0.2, 100ms, true, 0, 10000ms},
                      {"refresh", 1, 0.4, 0.4, 100ms, true, 0, 10000ms}};
    played.faults = {{0, 1, fault_kind::slow_lying, played.surge_from, played.surge_until}};
    return played;
}

/// Half of the servers restart together and are cold for a while.
scenario cold() {
    scenario played = mislead();
    played.name = "cold";
    played.services = {{8, 20, 0, 20ms, 0.5, false, {}}};
    played.surge_until = 8s;
    played.length = 15s;
    played.classes = {{"lookup", 0, 0.2, 0.2, 300ms, true}, {"refresh", 1, 0.4, 0.4, 300ms, true}};
    played.faults.clear();
    for (std::size_t server = 0; server < 4; ++server) {
        played.faults.push_back({0, server, fault_kind::cold, played.surge_from, played.surge_until});
    }
    return played;
}

/// All servers restart together while callers want three times the capacity.
scenario cold_overload() {
    scenario played = cold();
    played.name = "cold_overload";
    played.classes = overload().classes;
    for (std::size_t server = 4; server < 8; ++server) {
        played.faults.push_back({0, server, fault_kind::cold, played.surge_from, played.surge_until});
    }
    return played;
}

/// All servers restart together under the ordinary load.
scenario cold_all() {
    scenario played = cold_overload();
    played.name = "cold_all";
    played.classes = cold().classes;
    return played;
}

/// The same, of servers that do less the more they run while they are cold.
scenario cold_contended() {
    scenario played = cold_all();
    played.name = "cold_contended";
    for (auto& fault : played.faults) {
        fault.kind = fault_kind::cold_contended;
    }
    return played;
}

/// One of four servers is ten times slower and says so, under the ordinary load.
scenario slowed() {
    scenario played = mislead();
    played.name = "slowed";
    played.services = {{4, 20, 0, 20ms, 0.5, false, {}}};
    played.caller_resends = 3;
    played.faults = {{0, 0, fault_kind::slow, played.surge_from, played.surge_until}};
    return played;
}

/// Servers of which some fall to half of their capacity for a while, in one way or the other.
scenario falling(const std::string& name, std::size_t servers, fault_kind kind) {
    scenario played = slowed();
    played.name = name;
    played.classes = overload().classes;
    for (auto& callers : played.classes) {
        callers.surge = callers.load * 1.1;
    }
    played.faults.clear();
    for (std::size_t server = 0; server < servers; ++server) {
        played.faults.push_back({0, server, kind, played.surge_from, played.surge_until});
    }
    return played;
}

/// A server that really runs half of the requests that its configuration says.
scenario overstated() {
    scenario played = overload();
    played.name = "overstated";
    played.services = {{4, 40, 20, 20ms, 0.5, false, {}}};
    return played;
}

/// The same, and it refuses the rest.
scenario refusing_excess() {
    scenario played = overstated();
    played.name = "refusing_excess";
    played.services[0].refuses_excess = true;
    return played;
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
            breaking(5),
            breaking(29),
            mislead(),
            leaving(),
            cold(),
            cold_all(),
            cold_overload(),
            cold_contended(),
            slowed(),
            falling("halved", 4, fault_kind::halved),
            falling("halved_one", 1, fault_kind::halved),
            falling("strained", 4, fault_kind::strained),
            falling("strained_one", 1, fault_kind::strained),
            overstated(),
            refusing_excess()};
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

double capacity_of(const scenario& played) {
    double lowest = std::numeric_limits<double>::max();
    for (const auto& spec : played.services) {
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
