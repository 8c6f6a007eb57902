#include "model/simulation.h"

#include "model/internal/backend_model.h"
#include "model/internal/caller_model.h"
#include "model/internal/entry_model.h"
#include "model/internal/event_loop.h"
#include "model/internal/gate_model.h"
#include "model/internal/goodput_recorder.h"
#include "model/internal/loss_account.h"

#include <memory>
#include <random>
#include <vector>

namespace monsoonlift::model {

namespace {

using namespace internal;

/// One backend server with its daemon.
struct node {
    std::unique_ptr<backend_model> backend;
    std::unique_ptr<gate_model> gate;
    std::unique_ptr<entry_model> entry;
    std::size_t service = 0;
    std::size_t data_centre = 0;
};

/// Everything of one run.
struct chain {
    event_loop loop;
    std::mt19937_64 random;
    std::vector<node> nodes;
    std::vector<std::unique_ptr<caller_model>> callers;
};

std::vector<fault_spec> faults_of(const scenario& played, std::size_t service, std::size_t server) {
    std::vector<fault_spec> found;
    for (const auto& fault : played.faults) {
        if (fault.service == service && fault.server == server) {
            found.push_back(fault);
        }
    }
    return found;
}

void add_nodes(chain& built, const scenario& played, const rule_set& rules) {
    for (std::size_t service = 0; service < played.services.size(); ++service) {
        const auto& spec = played.services[service];
        for (std::size_t server = 0; server < spec.servers; ++server) {
            node added;
            added.service = service;
            added.data_centre = server % played.data_centres;
            added.backend = std::make_unique<backend_model>(built.loop, built.random, spec,
                                                            faults_of(played, service, server),
                                                            rules.has(rule::cancellation));
            added.gate = std::make_unique<gate_model>(built.loop, built.random, rules, spec, *added.backend);
            added.entry =
                std::make_unique<entry_model>(built.loop, built.random, rules, played, added.data_centre);
            added.gate->start_timer();
            built.nodes.push_back(std::move(added));
        }
    }
}

void schedule_restarts(chain& built, const scenario& played) {
    for (const auto& fault : played.faults) {
        if (fault.kind != fault_kind::cold && fault.kind != fault_kind::cold_contended) {
            continue;
        }
        std::size_t server = 0;
        for (auto& found : built.nodes) {
            if (found.service == fault.service && server++ == fault.server) {
                built.loop.after(fault.from, [gate = found.gate.get()] { gate->restart(); });
            }
        }
    }
}

void connect_nodes(chain& built) {
    for (auto& from : built.nodes) {
        for (auto& to : built.nodes) {
            from.entry->add_gate(to.service, to.data_centre, *to.gate);
        }
        from.backend->set_nested_call(
            [entry = from.entry.get()](const auto& context, std::size_t service, auto done) {
                return entry->send(context, service, std::chrono::nanoseconds::max(), std::move(done));
            });
    }
}

void add_callers(chain& built, const scenario& played, const rule_set& rules, goodput_recorder& recorder) {
    for (std::size_t index = 0; index < played.classes.size(); ++index) {
        const core::class_rank rank = rules.has(rule::class_order) ? played.classes[index].rank : 0;
        auto send = [&built](const core::call_context& context, const class_spec& spec, answer_handler done) {
            const std::size_t chosen =
                std::uniform_int_distribution<std::size_t>(0, built.nodes.size() - 1)(built.random);
            built.nodes[chosen].entry->send(context, spec.service, spec.patience, std::move(done));
        };
        built.callers.push_back(std::make_unique<caller_model>(built.loop, built.random, played, index, rank,
                                                               recorder, std::move(send)));
        built.callers.back()->start();
    }
}

void count_attempts(const chain& built, const scenario& played, model_result& result) {
    std::uint64_t sends = 0;
    std::uint64_t wanted = 0;
    std::uint64_t whole = 0;
    std::uint64_t runs = 0;
    std::uint64_t deepest = 0;
    for (const auto& caller : built.callers) {
        sends += caller->sends();
    }
    for (const auto& figures : result.classes) {
        wanted += figures.wanted;
        whole += figures.whole;
    }
    for (const auto& counted : built.nodes) {
        runs += counted.backend->runs();
        deepest += counted.service + 1 == played.services.size() ? counted.gate->arrivals() : 0;
    }
    const auto share = [](double part, double all) {
        return all > 0 ? part / all : 0;
    };
    result.attempts_per_root_deepest = share(static_cast<double>(deepest), static_cast<double>(sends));
    result.root_sends_per_call = share(static_cast<double>(sends), static_cast<double>(wanted));
    const double useful = static_cast<double>(whole * played.services.size());
    result.wasted_runs_ratio = 1 - share(useful, static_cast<double>(runs));
}

void count_refusals(const chain& built, refusal_counts& sums) {
    for (const auto& counted : built.nodes) {
        const auto& refused = counted.gate->refusals();
        sums.at_entry += counted.entry->refused();
        sums.by_threshold += refused.by_threshold;
        sums.with_a_free_slot += refused.with_a_free_slot;
        sums.without_time_left += refused.without_time_left;
        sums.in_queue += refused.in_queue;
    }
}

} // namespace

model_result play(const scenario& played, const rule_set& rules, std::uint64_t seed) {
    chain built;
    built.random.seed(seed);
    goodput_recorder recorder(played);
    add_nodes(built, played, rules);
    connect_nodes(built);
    schedule_restarts(built, played);
    add_callers(built, played, rules, recorder);
    loss_account losses(built.loop);
    for (const auto& watched : built.nodes) {
        losses.add_gate(watched.service, *watched.gate);
    }
    losses.start(played.surge_from, played.surge_until);
    built.loop.run_until(played.length);
    model_result result;
    result.capacity_per_second = capacity_of(played);
    recorder.summarise(result);
    count_attempts(built, played, result);
    count_refusals(built, result.refusals);
    result.slots = losses.shares();
    return result;
}

} // namespace monsoonlift::model
