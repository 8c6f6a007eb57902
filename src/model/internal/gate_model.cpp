#include "model/internal/gate_model.h"

#include "routing/chain_levels.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::model::internal {

namespace {

constexpr std::chrono::milliseconds timer_period{20};
constexpr std::chrono::hours unbounded_wait{1};
constexpr std::chrono::minutes long_ago{1};
constexpr std::uint32_t connections_per_slot = 8;

} // namespace

gate_model::gate_model(event_loop& loop, std::mt19937_64& random, const rule_set& rules,
                       const service_spec& spec, backend_model& backend)
    : m_loop(loop), m_random(random), m_rules(rules), m_backend(backend),
      m_limit(concurrency::cold_start({spec.slots, spec.slots * connections_per_slot}, ramp_start())) {
    m_queue.order = rules.order;
    if (rules.chains == chain_rule::whole) {
        m_queue.order = admission::queue_order::by_position;
        m_overload.settings.watches_queue = true;
    }
    if (!rules.has(rule::queue_time_bound)) {
        m_queue.max_wait = unbounded_wait;
        m_queue.max_length = 1'000'000;
    }
}

void gate_model::receive(const attempt_ptr& received) {
    ++m_arrivals;
    const auto step = static_cast<std::size_t>(m_loop.elapsed() / arrivals_step);
    m_arrivals_by_step.resize(std::max(m_arrivals_by_step.size(), step + 1));
    ++(received->is_repeat ? m_arrivals_by_step[step].repeats : m_arrivals_by_step[step].firsts);
    core::call_context seen = received->context;
    if (!m_rules.has(rule::root_consistency)) {
        seen.root.bytes[15] = static_cast<std::uint8_t>(m_random());
    }
    if (!m_rules.has(rule::nested_first)) {
        seen.depth = 1;
    }
    if (is_refused_below(received->context)) {
        ++m_refusals.below;
        reply(received, {false, core::verdict::not_run, true});
        return;
    }
    const bool admitted = !m_rules.has(rule::shedding) || admission::admits(m_overload.level, seen);
    admission::record_arrival(m_overload, seen, admitted);
    if (m_rules.has(rule::work_conserving) && m_queue.length == 0 && acquire()) {
        run(received, std::chrono::nanoseconds::zero());
        return;
    }
    if (!admitted) {
        const bool has_free_slot = m_queue.length == 0 && m_limit.running < m_limit.bounds.slots;
        ++(has_free_slot ? m_refusals.with_a_free_slot : m_refusals.by_threshold);
        reply(received, {false, core::verdict::not_run, true});
        return;
    }
    const auto left = core::time_left(received->context, m_loop.now());
    if (m_rules.has(rule::hopeless_refusal) && left < service_estimate()) {
        ++m_refusals.without_time_left;
        reply(received, {false, core::verdict::not_run, true});
        return;
    }
    if (!m_rules.has(rule::work_conserving) && m_queue.length == 0 && acquire()) {
        run(received, std::chrono::nanoseconds::zero());
        return;
    }
    enqueue(received);
}

void gate_model::start_timer() {
    m_loop.after(timer_period, [this] {
        admission::record_queue(m_overload, m_queue.length);
        const auto expired = admission::expire(m_queue, service_estimate(), m_loop.now()).refused;
        admission::record_unserved(m_overload, expired.size());
        refuse(expired);
        admission::tick(m_overload, m_loop.now());
        if (m_rules.chains == chain_rule::whole) {
            refuse(admission::shed(m_queue, m_overload.level).refused);
        }
        start_waiting();
        start_timer();
    });
}

void gate_model::restart() {
    const std::uint32_t running = m_limit.running;
    m_limit = concurrency::cold_start(m_limit.bounds, ramp_start());
    m_limit.running = running;
}

void gate_model::run(const attempt_ptr& admitted, std::chrono::nanoseconds waited) {
    if (waited.count() == 0 && m_queue.length == 0) {
        admission::record_empty_queue(m_overload);
    }
    admission::record_wait(m_overload, waited, m_loop.now());
    const auto started = m_loop.now();
    m_backend.run(admitted, [this, admitted, started](const call_answer& answer) {
        using concurrency::run_outcome;
        auto outcome = answer.whole ? run_outcome::finished : run_outcome::failed;
        if (answer.run == core::verdict::may_have_run && admitted->cancelled) {
            outcome = run_outcome::cancelled;
        }
        if (answer.run == core::verdict::not_run) {
            outcome = admitted->cancelled ? run_outcome::cancelled : run_outcome::refused;
        }
        release(outcome, m_loop.now() - started);
        admission::record_service(m_overload, concurrency::typical_service(m_limit));
        reply(admitted, answer);
        start_waiting();
    });
}

void gate_model::enqueue(const attempt_ptr& admitted) {
    const std::uint64_t ticket = m_next_ticket++;
    m_waiting[ticket] = admitted;
    const auto& context = admitted->context;
    const auto outcome = admission::push(
        m_queue,
        {ticket, context.rank, context.depth, m_loop.now(), context.deadline, admission::order_of(context)},
        m_loop.now());
    admission::record_unserved(m_overload, outcome.refused.size());
    refuse(outcome.refused);
}

void gate_model::start_waiting() {
    while (m_queue.length > 0 && acquire()) {
        const auto outcome = admission::pop(m_queue, service_estimate(), m_loop.now());
        admission::record_unserved(m_overload, outcome.refused.size());
        refuse(outcome.refused);
        if (!outcome.next) {
            concurrency::release(m_limit, concurrency::run_outcome::cancelled,
                                 std::chrono::nanoseconds::zero(), m_loop.now());
            return;
        }
        const auto found = m_waiting.find(outcome.next->ticket);
        const attempt_ptr next = found->second;
        m_waiting.erase(found);
        if (next->cancelled && m_rules.has(rule::cancellation)) {
            concurrency::release(m_limit, concurrency::run_outcome::cancelled,
                                 std::chrono::nanoseconds::zero(), m_loop.now());
            continue;
        }
        run(next, m_loop.now() - outcome.next->arrived);
    }
}

void gate_model::refuse(const std::vector<admission::waiting_call>& refused) {
    m_refusals.in_queue += refused.size();
    for (const auto& call : refused) {
        const auto found = m_waiting.find(call.ticket);
        const attempt_ptr dropped = found->second;
        m_waiting.erase(found);
        reply(dropped, {false, core::verdict::not_run, true});
    }
}

void gate_model::reply(const attempt_ptr& answered, call_answer answer) {
    if (m_rules.has(rule::load_reports)) {
        answer.report = report();
    }
    if (m_rules.chains == chain_rule::whole) {
        answer.below = m_below ? m_below() : admission::shed_level{};
    }
    answered->answer(answer);
}

bool gate_model::is_refused_below(const core::call_context& context) const {
    return m_rules.chains == chain_rule::whole && m_below && !admission::continues_chain(context) &&
           !routing::chain_admits(m_below(), context);
}

bool gate_model::acquire() {
    if (!m_rules.has(rule::concurrency_bound)) {
        ++m_limit.running;
        return true;
    }
    if (!m_rules.has(rule::learned_limit)) {
        m_limit.limit = m_limit.bounds.slots;
    }
    return concurrency::try_acquire(m_limit, m_loop.now());
}

void gate_model::release(concurrency::run_outcome outcome, std::chrono::nanoseconds time) {
    const double before = m_limit.limit;
    concurrency::release(m_limit, outcome, time, m_loop.now());
    if (m_limit.trial.under_way && !m_rules.has(rule::limit_trial)) {
        m_limit.trial = {};
        m_limit.window.to_skip = 0;
        m_limit.limit = before;
    }
}

core::steady_time gate_model::ramp_start() const {
    return m_rules.has(rule::cold_ramp) ? m_loop.now() : m_loop.now() - long_ago;
}

std::chrono::nanoseconds gate_model::service_estimate() const {
    if (!m_rules.has(rule::hopeless_refusal)) {
        return std::chrono::nanoseconds::zero();
    }
    return concurrency::typical_service(m_limit);
}

routing::load_report gate_model::report() const {
    routing::load_report load;
    load.level = m_rules.has(rule::shedding) ? m_overload.level : admission::shed_level{};
    load.running = m_limit.running;
    load.waiting = static_cast<std::uint32_t>(m_queue.length);
    load.limit = static_cast<std::uint32_t>(m_limit.limit);
    const auto* fault = m_backend.current_fault();
    if (fault != nullptr &&
        (fault->kind == fault_kind::slow_reported_idle || fault->kind == fault_kind::failing_fast)) {
        load.running = 0;
        load.waiting = 0;
        load.limit = m_limit.bounds.slots;
    }
    return load;
}

} // namespace monsoonlift::model::internal
