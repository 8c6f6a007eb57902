#include "model/internal/entry_model.h"

#include "admission/shedding.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::model::internal {

namespace {

constexpr std::uint32_t attempts_per_hop = 2;

std::string name_of(std::size_t number) {
    return std::to_string(number);
}

} // namespace

entry_model::entry_model(event_loop& loop, std::mt19937_64& random, const rule_set& rules,
                         const scenario& simulated, std::size_t data_centre)
    : m_loop(loop), m_random(random), m_rules(rules), m_scenario(simulated), m_data_centre(data_centre) {
    m_grants.max_tokens = m_grants.tokens = simulated.grant_burst;
    m_table.data_centre = rules.has(rule::local_first) ? name_of(data_centre) : "";
}

void entry_model::add_gate(std::size_t service, std::size_t data_centre, gate_model& gate) {
    const core::endpoint_id id{name_of(m_gates.size()), core::incarnation{1}};
    m_gates[id.address] = {&gate, data_centre};
    const std::string place = m_rules.has(rule::local_first) ? name_of(data_centre) : "";
    routing::upsert(m_table, id, name_of(service), place, false, true, m_loop.now());
}

cancel_function entry_model::send(const core::call_context& context, std::size_t service,
                                  std::chrono::nanoseconds patience, const caller_run& made_by,
                                  answer_handler done) {
    const auto fresh = std::make_shared<call>();
    fresh->context = context;
    fresh->service = service;
    fresh->made_by = made_by;
    fresh->done = std::move(done);
    fresh->route.service = name_of(service);
    if (m_rules.chains == chain_rule::whole) {
        fresh->context.work_spent += made_by.calls_ended;
    }
    if (!m_rules.has(rule::retry_budget)) {
        fresh->context.attempts_left = attempts_per_hop;
    }
    if (m_rules.has(rule::root_grant) && context.depth == 0) {
        retry::record_first_attempt(m_grants);
        fresh->granted = retry::grant(m_grants, fresh->context);
    }
    retry::record_first_attempt(m_retries);
    if (made_by.is_repeat) {
        retry::charge(m_leaf_retries[service]);
    } else {
        retry::record_first_attempt(m_leaf_retries[service], m_loop.now());
    }
    const auto time_left = core::time_left(context, m_loop.now());
    m_loop.after(std::min(patience, time_left),
                 [this, fresh, leaves = patience < time_left] { abandon(fresh, leaves); });
    start_attempt(fresh);
    return [this, fresh] {
        abandon(fresh, true);
    };
}

void entry_model::start_attempt(const call_ptr& sent) {
    if (sent->ended) {
        return;
    }
    sent->route.context = sent->context;
    const auto endpoint = is_refused_by_chain(sent) ? std::nullopt : choose(sent);
    if (!endpoint) {
        ++m_refused;
        end(sent, {false, core::verdict::not_run, true});
        return;
    }
    const auto lent = m_rules.has(rule::retry_budget) ? retry::lend(sent->context) : attempts_per_hop;
    const auto started = m_loop.now();
    const known_gate target = m_gates.at(endpoint->address);
    const auto fresh = std::make_shared<attempt>();
    fresh->context = sent->context;
    fresh->context.attempts_left = lent;
    fresh->is_repeat = sent->attempts > 0 || sent->made_by.is_repeat;
    fresh->answer = [this, sent, id = *endpoint, lent, started, target](const call_answer& answer) {
        m_loop.after(draw_delay(target.data_centre),
                     [=, this] { on_answer(sent, id, lent, started, answer); });
    };
    sent->current = fresh;
    routing::record_sent(m_table, *endpoint);
    m_loop.after(draw_delay(target.data_centre), [target, fresh] { target.gate->receive(fresh); });
}

void entry_model::on_answer(const call_ptr& sent, const core::endpoint_id& endpoint, std::uint32_t lent,
                            core::steady_time started, const call_answer& answer) {
    learn(endpoint, started, answer, sent->caller_left);
    note_answer(sent, answer);
    if (sent->ended) {
        return;
    }
    sent->spent += answer.spent;
    if (m_rules.has(rule::retry_budget)) {
        retry::settle(sent->context, lent, answer.spent);
    }
    if (answer.whole) {
        end(sent, answer);
        return;
    }
    sent->route.excluded.push_back(endpoint);
    repeat_or_end(sent, answer);
}

admission::shed_level entry_model::level_below() const {
    return routing::downstream_level(m_downstream, std::string(), m_loop.now());
}

bool entry_model::is_refused_by_chain(const call_ptr& sent) const {
    if (m_rules.chains == chain_rule::none || sent->context.depth > 0 || sent->attempts > 0) {
        return false;
    }
    const auto rule =
        m_rules.chains == chain_rule::whole ? routing::reported_levels : routing::chain_level_rule();
    const auto level = routing::chain_level(m_chains, name_of(sent->service), m_loop.now(), rule);
    return !routing::chain_admits(level, sent->context);
}

void entry_model::note_met(const call_ptr& sent, const admission::shed_level& met) {
    if (admission::is_stricter(met, sent->met)) {
        sent->met = met;
    }
}

void entry_model::note_answer(const call_ptr& sent, const call_answer& answer) {
    if (sent->context.depth == 0) {
        routing::record_chain(m_chains, name_of(sent->service), answer.below, m_loop.now());
        return;
    }
    note_met(sent, answer.below);
    if (answer.report) {
        note_met(sent, answer.report->level);
    }
    if (m_rules.chains == chain_rule::whole) {
        routing::record_below(m_downstream, name_of(sent->service), answer.below, m_loop.now());
    }
}

void entry_model::repeat_or_end(const call_ptr& sent, const call_answer& answer) {
    if (m_rules.chains == chain_rule::whole && answer.shed &&
        !admission::admits_nested(answer.below, sent->context)) {
        end(sent, answer);
        return;
    }
    if (!routing::has_untried(m_table, sent->route)) {
        end(sent, answer);
        return;
    }
    retry::attempt_outcome outcome;
    outcome.run = answer.run;
    outcome.attempt = sent->attempts;
    outcome.reached_server = !answer.shed;
    const bool has_own_budget = m_rules.has(rule::leaf_retries) && sent->context.depth > 0 &&
                                is_leaf(sent->service) && outcome.reached_server &&
                                outcome.run == core::verdict::not_run;
    auto delay = has_own_budget ? retry::next_attempt(m_leaf_retries[sent->service], sent->context, outcome,
                                                      sent->made_by.calls_ended, m_random, m_loop.now())
                                : next_attempt(sent, outcome);
    if (!delay) {
        end(sent, answer);
        return;
    }
    if (!m_rules.has(rule::backoff)) {
        delay = std::chrono::nanoseconds::zero();
    }
    ++sent->attempts;
    sent->spent += outcome.reached_server && !has_own_budget ? 1 : 0;
    m_loop.after(*delay, [this, sent] { start_attempt(sent); });
}

std::optional<std::chrono::nanoseconds> entry_model::next_attempt(const call_ptr& sent,
                                                                  const retry::attempt_outcome& outcome) {
    retry::ratio_state unlimited;
    auto& bucket = retry::bucket_for(m_retries, outcome.reached_server);
    auto& ratio = m_rules.has(rule::retry_ratio) ? bucket : unlimited;
    const auto delay = retry::next_attempt(ratio, sent->context, outcome, m_random, m_loop.now());
    if (delay && outcome.reached_server) {
        retry::charge(m_leaf_retries[sent->service]);
    }
    return delay;
}

bool entry_model::is_leaf(std::size_t service) const {
    return m_scenario.services[service].nested.empty();
}

void entry_model::abandon(const call_ptr& sent, bool caller_left) {
    if (sent->ended) {
        return;
    }
    sent->caller_left = caller_left;
    if (sent->current && m_rules.has(rule::cancellation)) {
        sent->current->cancelled = true;
        if (sent->current->on_cancel) {
            const auto cancel = sent->current->on_cancel;
            cancel();
        }
    }
    // NOTE: the retries made by the abandoned attempt are never reported, so the entire grant counts as
    // spent.
    sent->spent = std::max(sent->spent, sent->granted);
    end(sent, {false, core::verdict::may_have_run, false});
}

void entry_model::end(const call_ptr& ended, call_answer answer) {
    ended->ended = true;
    retry::give_back(m_grants, ended->granted - std::min(ended->granted, ended->spent));
    answer.spent = ended->spent;
    answer.report.reset();
    answer.below = ended->met;
    ended->done(answer);
}

std::chrono::nanoseconds entry_model::draw_delay(std::size_t data_centre) {
    const std::chrono::nanoseconds base =
        data_centre == m_data_centre ? m_scenario.local_delay : m_scenario.remote_delay;
    const double variable = std::exponential_distribution<double>(4)(m_random);
    const bool stalls = m_scenario.stall_share > 0 && data_centre != m_data_centre &&
                        std::bernoulli_distribution(m_scenario.stall_share)(m_random);
    const auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(base * (1 + variable));
    return stalls ? delay + m_scenario.stall : delay;
}

std::optional<core::endpoint_id> entry_model::choose(const call_ptr& sent) {
    auto request = sent->route;
    if (!m_rules.has(rule::early_shed)) {
        request.context.rank = 0;
        request.context.depth = 1;
    }
    if (!m_rules.has(rule::nested_first)) {
        request.context.depth = 1;
    }
    auto choice = routing::choose(m_table, request, m_random, m_loop.now());
    note_met(sent, choice.evidence.level);
    if (m_rules.chains == chain_rule::whole && sent->context.depth > 0) {
        routing::record_called(m_downstream, std::string(), name_of(sent->service), choice.evidence.level,
                               m_loop.now());
    }
    return choice.endpoint;
}

void entry_model::learn(const core::endpoint_id& endpoint, core::steady_time started,
                        const call_answer& answer, bool caller_left) {
    routing::attempt_result result;
    result.run = answer.run;
    result.succeeded = answer.whole || !m_rules.has(rule::success_routing);
    result.shed = answer.shed || (caller_left && !answer.whole);
    result.report = answer.report;
    result.latency = m_loop.now() - started;
    if (!m_rules.has(rule::latency_routing)) {
        result.latency = std::chrono::milliseconds(10);
    }
    routing::record_result(m_table, endpoint, result, m_loop.now());
}

} // namespace monsoonlift::model::internal
