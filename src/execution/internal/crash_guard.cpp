#include "execution/crash_guard.h"

#include <array>
#include <charconv>
#include <set>

namespace monsoonlift::execution {

namespace {

constexpr std::chrono::seconds broken_memory{2};
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
    m_book.limits = limits;
}

admittance crash_guard::admit(request_fingerprint request) {
    const std::scoped_lock lock(m_mutex);
    const crash_state state = look_up(m_book, request, m_clock.now());
    if (state == crash_state::held) {
        return admittance::held;
    }
    if (state == crash_state::suspect) {
        if (m_on_trial) {
            return admittance::busy;
        }
        m_on_trial = request;
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
        note_well(request, now);
    }
    if (m_on_trial != request) {
        return;
    }
    m_on_trial.reset();
    const bool is_cleared =
        ending == run_ending::answered && look_up(m_book, request, now) == crash_state::suspect;
    if (is_cleared) {
        release(m_book, request);
    }
}

std::vector<request_fingerprint> crash_guard::take_in_flight(core::steady_time now) {
    std::set<request_fingerprint> gone;
    for (const auto& [request, count] : m_in_flight) {
        gone.insert(request);
    }
    for (const broken_request& one : m_broken) {
        if (now - one.time <= broken_memory) {
            gone.insert(one.request);
        }
    }
    m_broken.clear();
    std::vector<request_fingerprint> accused;
    for (const request_fingerprint request : gone) {
        if (!is_proven(request, now) && accused.size() < m_book.limits.reported) {
            accused.push_back(request);
        }
        // NOTE: an answer clears a request of one crash only, so that a request that was answered once and
        // crashes servers since becomes suspect at the next crash.
        m_ended_well.erase(request);
    }
    return accused;
}

void crash_guard::note_well(request_fingerprint request, core::steady_time now) {
    if (m_ended_well.size() < m_book.limits.proven || m_ended_well.contains(request)) {
        m_ended_well[request] = now;
    }
}

bool crash_guard::is_proven(request_fingerprint request, core::steady_time now) const {
    const auto found = m_ended_well.find(request);
    return found != m_ended_well.end() && now - found->second <= m_book.limits.proof;
}

void crash_guard::backend_died() {
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
        crash_report accusing = report;
        std::erase_if(accusing.in_flight, [&](request_fingerprint one) { return is_proven(one, now); });
        held = note_crash(m_book, accusing, now);
    }
    for (const request_fingerprint request : held) {
        m_log.write(logging::event_id::request_quarantined,
                    {{"request", to_text(request)}, {"gate", report.gate.address}});
    }
}

void crash_guard::take_rumor(std::uint32_t topic, const std::string& payload) {
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
        hold(m_book, ruling->request, m_clock.now());
    } else {
        release(m_book, ruling->request);
    }
}

void crash_guard::rule(request_fingerprint request, bool held) {
    const auto number = static_cast<std::uint64_t>(m_clock.wall_now().time_since_epoch().count());
    const std::string payload = write_ruling({request, held, number});
    take_rumor(ruling_topic, payload);
    m_spread(ruling_topic, payload);
}

std::vector<quarantined_request> crash_guard::requests() const {
    const std::scoped_lock lock(m_mutex);
    const core::steady_time now = m_clock.now();
    std::vector<quarantined_request> list;
    for (const auto& [request, suspect] : m_book.suspects) {
        const auto until = suspect.held_until.value_or(suspect.last + m_book.limits.suspicion);
        const auto left = std::chrono::duration_cast<std::chrono::seconds>(until - now);
        list.push_back({request, suspect.crashes, suspect.held_until.has_value(), left});
    }
    return list;
}

void crash_guard::expire() {
    const std::scoped_lock lock(m_mutex);
    execution::expire(m_book, m_clock.now());
    std::erase_if(m_ended_well, [&](const auto& entry) { return !is_proven(entry.first, m_clock.now()); });
    std::erase_if(m_broken,
                  [&](const broken_request& one) { return m_clock.now() - one.time > broken_memory; });
}

} // namespace monsoonlift::execution
