#include "model/simulation.h"

#include "model/internal/backend_model.h"
#include "model/internal/caller_model.h"
#include "model/internal/entry_model.h"
#include "model/internal/event_loop.h"
#include "model/internal/gate_model.h"
#include "model/internal/goodput_recorder.h"
#include "model/internal/slot_loss_sampler.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace monsoonlift::model {

namespace {

using namespace internal;

/// Window in which repeats are compared with first arrivals.
constexpr std::chrono::seconds repeats_window{10};

/// One backend server with its daemon.
struct node {
    std::unique_ptr<backend_model> backend;
    std::unique_ptr<gate_model> gate;
    std::unique_ptr<entry_model> entry;
    std::size_t service = 0;
    std::size_t data_centre = 0;
};

/// What became of one root call.
struct root_tally {
    run_time sent{0};
    run_time ended{0};
    std::uint64_t deepest_runs = 0; ///< Runs at the last service.
    bool is_whole = false;
    bool is_refused = false; ///< Refused unrun.
    bool is_ended = false;
};

std::uint64_t key_of(const core::root_id& root) {
    std::uint64_t key = 0;
    std::memcpy(&key, root.bytes.data(), sizeof(key));
    return key;
}

/// All objects of one run.
struct simulation_run {
    std::unordered_map<std::uint64_t, root_tally> roots;
    event_loop loop;
    std::mt19937_64 random;
    std::vector<node> nodes;
    std::vector<std::unique_ptr<caller_model>> callers;
};

std::vector<fault_spec> faults_of(const scenario& simulated, std::size_t service, std::size_t server) {
    std::vector<fault_spec> found;
    for (const auto& fault : simulated.faults) {
        if (fault.service == service && fault.server == server) {
            found.push_back(fault);
        }
    }
    return found;
}

void add_nodes(simulation_run& run, const scenario& simulated, const rule_set& rules) {
    for (std::size_t service = 0; service < simulated.services.size(); ++service) {
        const auto& spec = simulated.services[service];
        for (std::size_t server = 0; server < spec.servers; ++server) {
            node added;
            added.service = service;
            added.data_centre = server % simulated.data_centres;
            added.backend = std::make_unique<backend_model>(run.loop, run.random, spec,
                                                            faults_of(simulated, service, server),
                                                            rules.has(rule::cancellation));
            added.gate = std::make_unique<gate_model>(run.loop, run.random, rules, spec, *added.backend);
            added.entry =
                std::make_unique<entry_model>(run.loop, run.random, rules, simulated, added.data_centre);
            added.gate->start_timer();
            run.nodes.push_back(std::move(added));
        }
    }
}

void schedule_restarts(simulation_run& run, const scenario& simulated) {
    for (const auto& fault : simulated.faults) {
        if (fault.kind != fault_kind::cold && fault.kind != fault_kind::cold_contended) {
            continue;
        }
        std::size_t server = 0;
        for (auto& found : run.nodes) {
            if (found.service == fault.service && server++ == fault.server) {
                run.loop.after(fault.from, [gate = found.gate.get()] { gate->restart(); });
            }
        }
    }
}

void connect_nodes(simulation_run& run, std::size_t service_count) {
    for (auto& from : run.nodes) {
        for (auto& to : run.nodes) {
            from.entry->add_gate(to.service, to.data_centre, *to.gate);
        }
        from.gate->set_below([entry = from.entry.get()] { return entry->level_below(); });
        if (from.service + 1 == service_count) {
            from.backend->set_started(
                [&run](const auto& context) { ++run.roots[key_of(context.root)].deepest_runs; });
        }
        from.backend->set_nested_call([entry = from.entry.get()](const auto& context, std::size_t service,
                                                                 const auto& made_by, auto done) {
            return entry->send(context, service, std::chrono::nanoseconds::max(), made_by, std::move(done));
        });
    }
}

void add_callers(simulation_run& run, const scenario& simulated, const rule_set& rules,
                 goodput_recorder& recorder) {
    for (std::size_t index = 0; index < simulated.classes.size(); ++index) {
        const core::class_rank rank = rules.has(rule::class_order) ? simulated.classes[index].rank : 0;
        auto send = [&run](const core::call_context& context, const class_spec& spec, answer_handler done) {
            const std::size_t chosen =
                std::uniform_int_distribution<std::size_t>(0, run.nodes.size() - 1)(run.random);
            const auto key = key_of(context.root);
            run.roots[key].sent = run.loop.elapsed();
            run.nodes[chosen].entry->send(context, spec.service, spec.patience, {},
                                          [&run, key, done = std::move(done)](const call_answer& answer) {
                                              auto& tally = run.roots[key];
                                              tally.is_whole = answer.whole;
                                              tally.is_refused = answer.run == core::verdict::not_run;
                                              tally.ended = run.loop.elapsed();
                                              tally.is_ended = true;
                                              done(answer);
                                          });
        };
        run.callers.push_back(std::make_unique<caller_model>(run.loop, run.random, simulated, index, rank,
                                                             recorder, std::move(send)));
        run.callers.back()->start();
    }
}

void count_attempts(const simulation_run& run, const scenario& simulated, model_result& result) {
    std::uint64_t sends = 0;
    std::uint64_t wanted = 0;
    std::uint64_t whole = 0;
    std::uint64_t runs = 0;
    std::uint64_t deepest = 0;
    for (const auto& caller : run.callers) {
        sends += caller->sends();
    }
    for (const auto& figures : result.classes) {
        wanted += figures.wanted;
        whole += figures.whole;
    }
    for (const auto& counted : run.nodes) {
        runs += counted.backend->runs();
        deepest += counted.service + 1 == simulated.services.size() ? counted.gate->arrivals() : 0;
    }
    const auto share = [](double part, double all) {
        return all > 0 ? part / all : 0;
    };
    result.attempts_per_root_deepest = share(static_cast<double>(deepest), static_cast<double>(sends));
    result.root_sends_per_call = share(static_cast<double>(sends), static_cast<double>(wanted));
    const double useful = static_cast<double>(whole * simulated.services.size());
    result.wasted_runs_ratio = 1 - share(useful, static_cast<double>(runs));
}

/// Returns the worst share of repeats in a window at the last service; see model_result.
double worst_repeats(const simulation_run& run, const scenario& simulated) {
    std::vector<gate_model::arrivals_in_step> sums(
        static_cast<std::size_t>(simulated.length / gate_model::arrivals_step) + 1);
    for (const auto& counted : run.nodes) {
        const auto& steps = counted.gate->arrivals_by_step();
        for (std::size_t step = 0; counted.service + 1 == simulated.services.size() && step < steps.size();
             ++step) {
            sums.at(step).firsts += steps[step].firsts;
            sums.at(step).repeats += steps[step].repeats;
        }
    }
    constexpr std::size_t window = repeats_window / gate_model::arrivals_step;
    const auto sum_from = [&](std::size_t from) {
        gate_model::arrivals_in_step sum;
        for (std::size_t step = from; step < std::min(from + window, sums.size()); ++step) {
            sum.firsts += sums[step].firsts;
            sum.repeats += sums[step].repeats;
        }
        return sum;
    };
    double worst = 0;
    for (std::size_t from = window; from < sums.size(); ++from) {
        const auto in_window = sum_from(from);
        const auto most = std::max(in_window.firsts, sum_from(from - window).firsts);
        worst = std::max(worst, most > 0 ? static_cast<double>(in_window.repeats) / most : 0);
    }
    return worst;
}

/// Counts the runs of the last service that were made for failed root calls, and how fast root calls were
/// refused during the surge.
void count_roots(const simulation_run& run, const scenario& simulated, model_result& result) {
    double runs = 0;
    double wasted = 0;
    double sent = 0;
    double failed = 0;
    std::vector<double> refused_ms;
    for (const auto& [key, tally] : run.roots) {
        const auto deepest = static_cast<double>(tally.deepest_runs);
        runs += tally.is_ended ? deepest : 0;
        wasted += tally.is_ended && !tally.is_whole ? deepest : 0;
        if (tally.sent < simulated.surge_from || tally.sent >= simulated.surge_until) {
            continue;
        }
        ++sent;
        failed += tally.is_ended && !tally.is_whole && !tally.is_refused ? 1 : 0;
        if (tally.is_refused) {
            refused_ms.push_back(std::chrono::duration<double, std::milli>(tally.ended - tally.sent).count());
        }
    }
    result.wasted_deepest_ratio = runs > 0 ? wasted / runs : 0;
    result.failed_ratio_surge = sent > 0 ? failed / sent : 0;
    std::sort(refused_ms.begin(), refused_ms.end());
    if (!refused_ms.empty()) {
        result.refused_p50_ms = refused_ms[refused_ms.size() / 2];
        result.refused_p99_ms = refused_ms[refused_ms.size() * 99 / 100];
    }
}

void count_refusals(const simulation_run& run, refusal_counts& sums) {
    for (const auto& counted : run.nodes) {
        const auto& refused = counted.gate->refusals();
        sums.at_entry += counted.entry->refused();
        sums.by_threshold += refused.by_threshold;
        sums.with_a_free_slot += refused.with_a_free_slot;
        sums.below += refused.below;
        sums.without_time_left += refused.without_time_left;
        sums.in_queue += refused.in_queue;
    }
}

} // namespace

model_result simulate(const scenario& simulated, const rule_set& rules, std::uint64_t seed) {
    simulation_run run;
    run.random.seed(seed);
    goodput_recorder recorder(simulated);
    add_nodes(run, simulated, rules);
    connect_nodes(run, simulated.services.size());
    schedule_restarts(run, simulated);
    add_callers(run, simulated, rules, recorder);
    slot_loss_sampler losses(run.loop);
    for (const auto& watched : run.nodes) {
        losses.add_gate(watched.service, *watched.gate);
    }
    losses.start(simulated.surge_from, simulated.surge_until);
    run.loop.run_until(simulated.length);
    model_result result;
    result.capacity_per_second = capacity_of(simulated);
    recorder.summarise(result);
    count_attempts(run, simulated, result);
    result.repeats_deepest_worst = worst_repeats(run, simulated);
    count_roots(run, simulated, result);
    count_refusals(run, result.refusals);
    result.slots = losses.shares();
    return result;
}

} // namespace monsoonlift::model
