#include "execution/crash_guard.h"

#include <array>
#include <charconv>
#include <set>

namespace monsoonlift::execution {

namespace {

constexpr std::chrono::seconds broken_retention{2};
constexpr int hexadecimal = 16;

std::string to_text(request_fingerprint request) {
    std::array<char, 16> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), request.value, hexadecimal);
    return {digits.data(), written.ptr};
}

} // namespace

crash_guard::crash_guard(const core::clock& clock, core::endpoint_id self, crash_limits limits,
                         logging::event_log& log, spreader spread)
    : m_clock(clock), m_self(std::move(self)), m_log(log), m_spread(std::move(spread)) {
    m_registry.limits = limits;
}

admittance crash_guard::admit(request_fingerprint request) {
    const std::scoped_lock lock(m_mutex);
    const crash_state state = look_up(m_registry, request, m_clock.now());
    if (state == crash_state::held) {
        return admittance::held;
    }
    if (state == crash_state::suspect) {
        if (m_running_suspect) {
            return admittance::busy;
        }
        m_running_suspect = request;
    }
    ++m_in_flight[request];
    return admittance::admitted;
}

void crash_guard::end(request_fingerprint request, run_ending ending) {
    const std::scoped_lock lock(m_mutex);
    const auto found = m_in_flight.find(request);
    if (found == m_in_flight.end()) {
        return;
    }
    if (--found->second == 0) {
        m_in_flight.erase(found);
    }
    const auto now = m_clock.now();
    if (ending == run_ending::broken) {
        m_broken.push_back({request, now});
    }
    if (ending == run_ending::answered) {
        record_answered(request, now);
    }
    if (m_running_suspect != request) {
        return;
    }
    m_running_suspect.reset();
    const bool is_cleared =
        ending == run_ending::answered && look_up(m_registry, request, now) == crash_state::suspect;
    if (is_cleared) {
        release(m_registry, request);
    }
}

std::vector<request_fingerprint> crash_guard::take_in_flight(core::steady_time now) {
    std::set<request_fingerprint> interrupted;
    for (const auto& [request, count] : m_in_flight) {
        interrupted.insert(request);
    }
    for (const broken_request& one : m_broken) {
        if (now - one.time <= broken_retention) {
            interrupted.insert(one.request);
        }
    }
    m_broken.clear();
    std::vector<request_fingerprint> suspected;
    for (const request_fingerprint request : interrupted) {
        if (!answered_recently(request, now) && suspected.size() < m_registry.limits.max_reported) {
            suspected.push_back(request);
        }
        // NOTE: an answer counts for one crash only, so that a request that was answered once and then
        // crashes backend servers becomes suspect at the next crash.
        m_answered.erase(request);
    }
    return suspected;
}

void crash_guard::record_answered(request_fingerprint request, core::steady_time now) {
    const auto known = m_answered.find(request);
    if (known != m_answered.end()) {
        known->second = now;
    } else if (m_answered.size() < m_registry.limits.max_answered) {
        m_answered.emplace(request, now);
    }
}

bool crash_guard::answered_recently(request_fingerprint request, core::steady_time now) const {
    const auto found = m_answered.find(request);
    return found != m_answered.end() && now - found->second <= m_registry.limits.answer_memory;
}

void crash_guard::report_backend_crash() {
    crash_report report;
    {
        const std::scoped_lock lock(m_mutex);
        report.gate = m_self;
        report.in_flight = take_in_flight(m_clock.now());
        if (report.in_flight.empty()) {
            return;
        }
        report.number = ++m_reports;
    }
    m_log.write(logging::event_id::backend_crashed, {{"in_flight", std::to_string(report.in_flight.size())}});
    note(report, m_clock.now());
    m_spread(crash_topic, write_crash(report));
}

void crash_guard::note(const crash_report& report, core::steady_time now) {
    std::vector<request_fingerprint> held;
    {
        const std::scoped_lock lock(m_mutex);
        crash_report relevant = report;
        std::erase_if(relevant.in_flight,
                      [&](request_fingerprint one) { return answered_recently(one, now); });
        held = note_crash(m_registry, relevant, now);
    }
    for (const request_fingerprint request : held) {
        m_log.write(logging::event_id::request_quarantined,
                    {{"request", to_text(request)}, {"gate", report.gate.address}});
    }
}

void crash_guard::receive_rumor(std::uint32_t topic, const std::string& payload) {
    if (topic == crash_topic) {
        if (const auto report = read_crash(payload)) {
            note(*report, m_clock.now());
        }
        return;
    }
    const auto ruling = topic == ruling_topic ? read_ruling(payload) : std::nullopt;
    if (!ruling) {
        return;
    }
    const std::scoped_lock lock(m_mutex);
    if (ruling->held) {
        hold(m_registry, ruling->request, m_clock.now());
    } else {
        release(m_registry, ruling->request);
    }
}

void crash_guard::rule(request_fingerprint request, bool held) {
    const auto number = static_cast<std::uint64_t>(m_clock.wall_now().time_since_epoch().count());
    const std::string payload = write_ruling({request, held, number});
    receive_rumor(ruling_topic, payload);
    m_spread(ruling_topic, payload);
}

std::vector<quarantined_request> crash_guard::requests() const {
    const std::scoped_lock lock(m_mutex);
    const core::steady_time now = m_clock.now();
    std::vector<quarantined_request> list;
    for (const auto& [request, suspect] : m_registry.suspects) {
        const auto until = suspect.held_until.value_or(suspect.last + m_registry.limits.suspicion);
        const auto left = std::chrono::duration_cast<std::chrono::seconds>(until - now);
        list.push_back({request, suspect.crashes, suspect.held_until.has_value(), left});
    }
    return list;
}

void crash_guard::expire() {
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    execution::expire(m_registry, now);
    std::erase_if(m_answered,
                  [&](const auto& entry) { return now - entry.second > m_registry.limits.answer_memory; });
    std::erase_if(m_broken, [&](const broken_request& one) { return now - one.time > broken_retention; });
}

} // namespace monsoonlift::execution
