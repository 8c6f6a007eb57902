#include "entry/internal/attempt_counts.h"

#include "logging/number_text.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace monsoonlift::entry::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds interval = 1s;

} // namespace

attempt_counts::attempt_counts(logging::event_log& log, const core::clock& clock)
    : m_log(log), m_clock(clock), m_began(clock.now()) {}

void attempt_counts::count(const std::string& service, attempt_outcome_kind kind) {
    const auto now = m_clock.now();
    std::optional<table> finished;
    std::chrono::nanoseconds during = 0ns;
    {
        const std::scoped_lock lock(m_mutex);
        if (now - m_began >= interval) {
            during = now - std::exchange(m_began, now);
            finished = std::exchange(m_counted, {});
        }
        ++m_counted[service].at(static_cast<std::size_t>(kind));
    }
    if (finished) {
        write(*finished, during);
    }
}

void attempt_counts::write(const table& counted, std::chrono::nanoseconds during) {
    for (const auto& [service, ends] : counted) {
        const auto text = [&counts = ends](attempt_outcome_kind kind) {
            return std::to_string(counts.at(static_cast<std::size_t>(kind)));
        };
        const bool all_complete =
            std::all_of(ends.begin() + 1, ends.end(), [](auto each) { return each == 0; });
        if (all_complete) {
            continue;
        }
        m_log.write(logging::event_id::attempts_counted,
                    {{"service", service},
                     {"during_ms", logging::milliseconds_text(during)},
                     {"whole", text(attempt_outcome_kind::whole)},
                     {"server_error", text(attempt_outcome_kind::server_error)},
                     {"server_refused", text(attempt_outcome_kind::server_refused)},
                     {"gate_refused", text(attempt_outcome_kind::gate_refused)},
                     {"unavailable", text(attempt_outcome_kind::unavailable)},
                     {"broken", text(attempt_outcome_kind::broken)},
                     {"late", text(attempt_outcome_kind::late)},
                     {"not_sent", text(attempt_outcome_kind::not_sent)},
                     {"retried", text(attempt_outcome_kind::retried)},
                     {"withheld_call", text(attempt_outcome_kind::withheld_call)},
                     {"withheld_daemon", text(attempt_outcome_kind::withheld_daemon)}});
    }
}

} // namespace monsoonlift::entry::internal
