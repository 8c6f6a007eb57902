#include "model/internal/caller_model.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::model::internal {

namespace {

/// Interval at which a class without demand checks its rate again.
constexpr std::chrono::milliseconds idle_pause{50};

} // namespace

caller_model::caller_model(event_loop& loop, std::mt19937_64& random, const scenario& simulated,
                           std::size_t class_index, core::class_rank rank, goodput_recorder& recorder,
                           send_root send)
    : m_loop(loop), m_random(random), m_scenario(simulated), m_class_index(class_index), m_rank(rank),
      m_recorder(recorder), m_send(std::move(send)) {}

void caller_model::start() {
    schedule_arrival();
}

void caller_model::schedule_arrival() {
    const double current = rate();
    const bool idle = current <= 0;
    const double pause_s = idle ? std::chrono::duration<double>(idle_pause).count()
                                : std::exponential_distribution<double>(current)(m_random);
    const auto pause =
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(pause_s));
    m_loop.after(pause, [this, idle] {
        if (!idle) {
            m_recorder.record_request(m_class_index, m_loop.elapsed());
            send(m_loop.elapsed(), m_scenario.caller_resends);
        }
        schedule_arrival();
    });
}

void caller_model::send(run_time requested_at, std::uint32_t resends_left) {
    ++m_sends;
    const auto& spec = m_scenario.classes[m_class_index];
    core::call_context context;
    std::generate(context.root.bytes.begin(), context.root.bytes.end(),
                  [this] { return static_cast<std::uint8_t>(m_random()); });
    context.rank = m_rank;
    context.deadline =
        m_loop.now() + (spec.declared_timeout.count() > 0 ? spec.declared_timeout : spec.patience);
    context.attempts_left = m_scenario.attempts_per_root;
    context.idempotent = spec.idempotent;
    m_send(context, spec, [this, requested_at, resends_left](const call_answer& answer) {
        if (answer.whole) {
            m_recorder.record_complete(m_class_index, requested_at, m_loop.elapsed());
            return;
        }
        if (resends_left == 0) {
            return;
        }
        const std::chrono::nanoseconds longest = m_scenario.resend_delay;
        const std::chrono::nanoseconds pause(
            std::uniform_int_distribution<std::int64_t>(0, longest.count())(m_random));
        m_loop.after(pause, [this, requested_at, resends_left] { send(requested_at, resends_left - 1); });
    });
}

double caller_model::rate() const {
    const auto& spec = m_scenario.classes[m_class_index];
    bool surge = m_loop.elapsed() >= m_scenario.surge_from && m_loop.elapsed() < m_scenario.surge_until;
    if (m_scenario.surge_every.count() > 0) {
        surge = surge &&
                (m_loop.elapsed() - m_scenario.surge_from) % m_scenario.surge_every < m_scenario.burst_length;
    }
    return capacity_of(m_scenario) * (surge ? spec.surge : spec.load);
}

} // namespace monsoonlift::model::internal
