// The part of membership_runtime that maintains this daemon's platform object.
#include "membership/internal/membership_runtime.h"

#include <algorithm>
#include <random>
#include <utility>

namespace monsoonlift::membership::internal {

namespace {

/// Interval in which, on average, one daemon of the fleet lists the platform's member objects to find members
/// that its table lacks.
constexpr std::chrono::seconds group_check_interval{10};

} // namespace

member_object_publisher::hooks membership_runtime::object_hooks() {
    member_object_publisher::hooks hooks;
    hooks.gone_patience = m_options.gone_object_patience;
    hooks.on_peers = [weak = weak_from_this()](const std::vector<std::string>& peers) {
        if (const auto self = weak.lock()) {
            self->handle_listed_peers(peers);
        }
    };
    hooks.on_recorded_deregistrations = m_hooks.on_recorded_deregistrations;
    hooks.find_known_member =
        [weak = weak_from_this()](const std::string& address) -> std::optional<known_member> {
        const auto self = weak.lock();
        return self ? self->find_known_member(address) : std::nullopt;
    };
    return hooks;
}

std::optional<known_member> membership_runtime::find_known_member(const std::string& address) const {
    const auto found = m_state.members.find(address);
    if (found == m_state.members.end()) {
        return std::nullopt;
    }
    const auto& known = found->second;
    return known_member{known.value.id.life, known.value.status, known.since};
}

void membership_runtime::handle_listed_peers(const std::vector<std::string>& peers) {
    add_seeds(m_state, peers);
    if (peers.empty() && m_options.seed_peers.empty()) {
        m_state.join.joined = true;
    }
    if (!m_state.join.joined) {
        m_object->list_again();
        return;
    }
    send(contact_unknown(m_state, peers));
}

void membership_runtime::check_groups() {
    const auto now = m_clock.now();
    if (!m_joined || m_object == nullptr || now < m_next_group_check) {
        return;
    }
    // NOTE: on average one daemon of the fleet lists per interval, whatever the fleet's size; each daemon
    // also lists once after joining.
    const bool is_first_check = m_next_group_check == core::steady_time{};
    m_next_group_check = now + group_check_interval;
    std::bernoulli_distribution is_turn(1.0 / static_cast<double>(m_state.members.size() + 1));
    if (is_first_check || is_turn(m_state.random)) {
        m_object->list();
    }
}

void membership_runtime::check_object_within(std::chrono::milliseconds longest) {
    if (m_object == nullptr) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> jitter(0, longest.count());
    m_object_check = m_clock.now() + std::chrono::milliseconds(jitter(m_state.random));
}

void membership_runtime::schedule_object_check(const swim_message& message) {
    const auto reports_own_death = [this](const member& record) {
        return record.id == m_state.self.id && record.status == member_status::dead;
    };
    const bool is_reported = std::any_of(message.records.begin(), message.records.end(), reports_own_death);
    if (!is_reported || m_object == nullptr || m_object_check) {
        return;
    }
    // NOTE: the check waits until peers consider this daemon alive again, since no peer removes its object
    // after that. The jitter keeps daemons from all reading at once after a partition in which many declared
    // each other dead.
    const auto pause = m_options.object_check_pause;
    std::uniform_int_distribution<std::int64_t> jitter(pause.count(), pause.count() * 4);
    m_object_check = m_clock.now() + std::chrono::milliseconds(jitter(m_state.random));
}

void membership_runtime::check_object() {
    if (m_object_check && m_clock.now() >= *m_object_check) {
        m_object_check.reset();
        m_object->check_own();
    }
}

void membership_runtime::record_deregistrations(
    const std::vector<core::departed_incarnation>& deregistrations,
    const std::function<void()>& on_recorded) {
    if (m_object == nullptr) {
        on_recorded();
        return;
    }
    m_object->record_deregistrations(deregistrations, on_recorded);
}

void membership_runtime::forget_deregistrations() {
    if (m_object != nullptr) {
        m_object->forget_deregistrations();
    }
}

void membership_runtime::leave_object(std::function<void()> done) {
    if (m_object == nullptr) {
        done();
        return;
    }
    m_object->remove(std::move(done));
}

} // namespace monsoonlift::membership::internal
