#include "model/internal/backend_model.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace monsoonlift::model::internal {

namespace {

constexpr std::chrono::microseconds fast_failure_time{200};
constexpr int slow_factor = 10;
constexpr double cold_factor = 9;

} // namespace

backend_model::backend_model(event_loop& loop, std::mt19937_64& random, const service_spec& spec,
                             std::vector<fault_spec> faults, bool cancels)
    : m_loop(loop), m_random(random), m_spec(spec), m_faults(std::move(faults)), m_cancels(cancels) {
    if (m_spec.real_slots == 0) {
        m_spec.real_slots = m_spec.slots;
    }
}

void backend_model::run(const attempt_ptr& request, const answer_handler& done) {
    if (const auto answer = immediate_answer()) {
        m_loop.after(fast_failure_time, [done, answer] { done(*answer); });
        return;
    }
    const auto fresh = std::make_shared<job>();
    fresh->request = request;
    fresh->done = done;
    if (m_running < real_slots()) {
        start(fresh);
    } else {
        m_waiting.push_back(fresh);
    }
}

const fault_spec* backend_model::current_fault() const {
    for (const auto& fault : m_faults) {
        if (m_loop.elapsed() >= fault.from && m_loop.elapsed() < fault.until) {
            return &fault;
        }
    }
    return nullptr;
}

std::uint32_t backend_model::real_slots() const {
    return suffers(fault_kind::halved) ? std::max(1U, m_spec.real_slots / 2) : m_spec.real_slots;
}

bool backend_model::suffers(fault_kind kind) const {
    const auto* fault = current_fault();
    return fault != nullptr && fault->kind == kind;
}

std::optional<call_answer> backend_model::immediate_answer() {
    if (suffers(fault_kind::failing_fast)) {
        return call_answer{false, core::verdict::ran};
    }
    if (suffers(fault_kind::refusing)) {
        return call_answer{false, core::verdict::not_run};
    }
    if (suffers(fault_kind::refusing_some) && std::bernoulli_distribution(current_fault()->share)(m_random)) {
        return call_answer{false, core::verdict::not_run};
    }
    if (suffers(fault_kind::breaking)) {
        return call_answer{false, core::verdict::may_have_run};
    }
    if (m_spec.refuses_excess && m_running >= real_slots()) {
        return call_answer{false, core::verdict::not_run};
    }
    return std::nullopt;
}

void backend_model::start(const job_ptr& started) {
    ++m_running;
    ++m_runs;
    if (m_started) {
        m_started(started->request->context);
    }
    if (m_cancels) {
        started->request->on_cancel = [this, started] {
            cancel(started);
        };
    }
    m_loop.after(draw_service_time(), [this, started] { send_nested(started); });
}

void backend_model::start_waiting() {
    while (m_running < real_slots() && !m_waiting.empty()) {
        const job_ptr next = m_waiting.front();
        m_waiting.pop_front();
        if (m_cancels && next->request->cancelled) {
            next->done({false, core::verdict::not_run});
            continue;
        }
        start(next);
    }
}

void backend_model::send_nested(const job_ptr& current) {
    if (current->ended) {
        return;
    }
    if (current->nested_calls == m_spec.nested.size()) {
        finish(current, {true, core::verdict::ran, false, {}, current->spent});
        return;
    }
    const std::size_t service = m_spec.nested[current->nested_calls];
    core::call_context nested = current->request->context;
    ++nested.depth;
    nested.attempts_left -= std::min(nested.attempts_left, current->spent);
    const caller_run made_by{static_cast<std::uint32_t>(current->nested_calls), current->request->is_repeat};
    ++current->nested_calls;
    current->cancel_nested = m_nested(nested, service, made_by, [this, current](const call_answer& below) {
        current->spent += below.spent;
        current->met = admission::is_stricter(below.below, current->met) ? below.below : current->met;
        if (below.whole) {
            send_nested(current);
            return;
        }
        const auto run =
            suffers(fault_kind::closing_on_error) ? core::verdict::may_have_run : core::verdict::ran;
        finish(current, {false, run, false, {}, current->spent});
    });
}

void backend_model::cancel(const job_ptr& cancelled) {
    if (cancelled->cancel_nested) {
        cancelled->cancel_nested();
    }
    finish(cancelled, {false, core::verdict::may_have_run});
}

void backend_model::finish(const job_ptr& finished, const call_answer& answer) {
    if (finished->ended) {
        return;
    }
    finished->ended = true;
    finished->request->on_cancel = nullptr;
    --m_running;
    auto told = answer;
    told.below = finished->met;
    finished->done(told);
    start_waiting();
}

std::chrono::nanoseconds backend_model::draw_service_time() {
    const double mean = std::chrono::duration<double>(m_spec.service_time).count();
    const double shape = 1 / (m_spec.variation * m_spec.variation);
    double seconds = std::gamma_distribution<double>(shape, mean / shape)(m_random);
    const auto* fault = current_fault();
    if (fault != nullptr &&
        (fault->kind == fault_kind::slow || fault->kind == fault_kind::slow_reported_idle)) {
        seconds *= slow_factor;
    }
    if (fault != nullptr && fault->kind == fault_kind::strained) {
        const double strain = std::max(1.0, 2.0 * m_running / m_spec.real_slots);
        seconds *= strain * strain;
    }
    const bool contended = suffers(fault_kind::cold_contended);
    if (contended || suffers(fault_kind::cold)) {
        const double warm =
            std::chrono::duration<double>(m_loop.elapsed() - fault->from) / (fault->until - fault->from);
        const double in_use = static_cast<double>(m_running) / m_spec.real_slots;
        seconds *= 1 + cold_factor * (1 - warm) * (contended ? in_use * in_use : in_use);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
}

} // namespace monsoonlift::model::internal
