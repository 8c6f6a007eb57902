#include "model/internal/caller_model.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::model::internal {

namespace {

/// Pause after which a class without demand looks again.
constexpr std::chrono::milliseconds idle_pause{50};

} // namespace

caller_model::caller_model(event_loop& loop, std::mt19937_64& random, const scenario& played,
                           std::size_t class_index, core::class_rank rank, goodput_recorder& recorder,
                           send_root send)
    : m_loop(loop), m_random(random), m_played(played), m_class_index(class_index), m_rank(rank),
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
            m_recorder.record_wanted(m_class_index, m_loop.elapsed());
            send(m_loop.elapsed(), m_played.caller_resends);
        }
        schedule_arrival();
    });
}

void caller_model::send(run_time wanted, std::uint32_t resends_left) {
    ++m_sends;
    const auto& spec = m_played.classes[m_class_index];
    core::call_context context;
    std::generate(context.root.bytes.begin(), context.root.bytes.end(),
                  [this] { return static_cast<std::uint8_t>(m_random()); });
    context.rank = m_rank;
    context.deadline =
        m_loop.now() + (spec.declared_timeout.count() > 0 ? spec.declared_timeout : spec.patience);
    context.attempts_left = m_played.attempts_per_root;
    context.idempotent = spec.idempotent;
    m_send(context, spec, [this, wanted, resends_left](const call_answer& answer) {
        if (answer.whole) {
            m_recorder.record_whole(m_class_index, wanted, m_loop.elapsed());
            return;
        }
        if (resends_left == 0) {
            return;
        }
        const std::chrono::nanoseconds longest = m_played.resend_delay;
        const std::chrono::nanoseconds pause(
            std::uniform_int_distribution<std::int64_t>(0, longest.count())(m_random));
        m_loop.after(pause, [this, wanted, resends_left] { send(wanted, resends_left - 1); });
    });
}

double caller_model::rate() const {
    const auto& spec = m_played.classes[m_class_index];
    const bool surge = m_loop.elapsed() >= m_played.surge_from && m_loop.elapsed() < m_played.surge_until;
    return capacity_of(m_played) * (surge ? spec.surge : spec.load);
}

} // namespace monsoonlift::model::internal
