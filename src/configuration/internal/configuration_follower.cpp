#include "configuration/configuration_follower.h"

#include <array>
#include <utility>

#include "configuration/stored_configuration_json.h"
#include "core/go_on.h"
#include "store/settled.h"

namespace monsoonlift::configuration {

namespace {

constexpr auto watched_prefix = "configuration/";
constexpr std::chrono::milliseconds tick_interval{500};

} // namespace

configuration_follower::configuration_follower(const follower_parts& parts, follower_identity self,
                                               const follower_rule& rule)
    : m_parts(parts), m_self(std::move(self)), m_rule(rule), m_random(m_self.seed) {}

void configuration_follower::start() {
    m_parts.timer.after(std::chrono::nanoseconds::zero(), [self = shared_from_this()] { self->tick(); });
}

void configuration_follower::stop() {
    m_stopped = true;
}

void configuration_follower::on_peer_revision(const std::string& admin_address, std::uint64_t revision) {
    if (revision <= m_parts.holder.revision()) {
        return;
    }
    m_parts.timer.after(
        std::chrono::nanoseconds::zero(),
        [self = shared_from_this(), offer = peer_offer{admin_address, revision}] { self->on_offer(offer); });
}

void configuration_follower::on_offer(const peer_offer& offer) {
    const auto now = m_parts.clock.now();
    note_offer(m_state, offer, current_revision(), m_rule, m_random, now);
    if (offer.revision > current_revision() && m_state.next_pull > now) {
        m_parts.timer.after(m_state.next_pull - now, [self = shared_from_this()] { self->step(); });
        return;
    }
    step();
}

void configuration_follower::tick() {
    if (m_stopped) {
        return;
    }
    using self_type = configuration_follower;
    constexpr std::array steps{&self_type::check_role, &self_type::step, &self_type::check_settled};
    core::run_then(
        [&] { core::for_each_apart(steps, [this](auto each) { (this->*each)(); }); },
        [this] { m_parts.timer.after(tick_interval, [self = shared_from_this()] { self->tick(); }); });
}

void configuration_follower::check_role() {
    const auto now = m_parts.clock.now();
    if (now < m_state.next_role_check) {
        return;
    }
    m_state.next_role_check = now + m_rule.role_check;
    const auto members = m_parts.directory.members();
    m_state.is_watcher =
        is_watcher(m_self.address, m_self.data_centre, members, m_rule.watchers_per_data_centre);
    if (current_revision() == 0) {
        m_parts.log.write(logging::event_id::configuration_missing,
                          {{"members", std::to_string(members.size())}});
        note_random_peer_offer();
    }
}

void configuration_follower::check_settled() {
    if (m_settled || current_revision() == 0) {
        return;
    }
    const auto now = m_parts.clock.now();
    if (m_settling_since == core::steady_time{}) {
        m_settling_since = now;
    }
    const bool is_behind = m_state.highest_offered > current_revision();
    m_settled = m_state.has_cursor || (!is_behind && now - m_settling_since >= m_rule.settle_time);
}

/// Without a configuration, plans a pull from a random live peer, because the platform may be unavailable.
void configuration_follower::note_random_peer_offer() {
    auto members = m_parts.directory.members();
    std::erase_if(members, [this](const membership::member& other) {
        return other.status != membership::member_status::alive || other.admin_address.empty() ||
               other.id.address == m_self.address;
    });
    if (members.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> pick(0, members.size() - 1);
    const peer_offer offer{members[pick(m_random)].admin_address, 1};
    note_offer(m_state, offer, 0, m_rule, m_random, m_parts.clock.now());
}

void configuration_follower::step() {
    if (m_stopped) {
        return;
    }
    const auto now = m_parts.clock.now();
    if (const auto offer = next_pull(m_state, current_revision(), now)) {
        pull(*offer);
    }
    switch (next_store_call(m_state, current_revision(), m_rule, now)) {
    case store_call::list:
        list();
        break;
    case store_call::watch:
        watch();
        break;
    case store_call::none:
        break;
    }
}

void configuration_follower::list() {
    m_parts.api.list(
        watched_prefix, m_rule.call_patience,
        [self = shared_from_this(), restores = m_state.restores](core::result<store::object_list> answered) {
            self->on_listed(restores, std::move(answered));
        });
    m_state.store_busy = true;
}

void configuration_follower::on_store_restored() {
    record_restore(m_state);
}

void configuration_follower::on_listed(std::uint64_t restores, core::result<store::object_list> answered) {
    const auto answer = take_answer(std::move(answered));
    if (!answer) {
        return;
    }
    adopt_current(answer->objects);
    if (restores != m_state.restores) {
        // NOTE: the list may have been read before the restore, so its revision is no cursor.
        step();
        return;
    }
    record_list(m_state, answer->revision, current_revision(), m_rule, m_random, m_parts.clock.now());
    step();
}

void configuration_follower::watch() {
    m_parts.api.watch(watched_prefix, m_state.cursor, m_rule.watch_patience,
                      [self = shared_from_this()](core::result<store::watch_result> answered) {
                          self->on_changed(std::move(answered));
                      });
    m_state.store_busy = true;
}

void configuration_follower::on_changed(core::result<store::watch_result> answered) {
    const auto answer = take_answer(std::move(answered));
    if (!answer) {
        return;
    }
    adopt_current(answer->changed);
    record_watch(m_state, answer->revision);
    step();
}

template <class T> std::optional<T> configuration_follower::take_answer(core::result<T> answered) {
    m_state.store_busy = false;
    auto answer = store::settle_result(std::move(answered));
    if (!answer.value) {
        m_parts.log.write(logging::event_id::platform_call_failed,
                          {{"reason", answer.failure.message},
                           {"in_force", std::to_string(current_revision())},
                           {"failures", std::to_string(m_state.store_failures + 1)}});
        record_store_failure(m_state, m_rule, m_random, m_parts.clock.now());
    }
    return std::move(answer.value);
}

void configuration_follower::pull(const peer_offer& offer) {
    m_state.pull_busy = true;
    m_parts.peers.fetch(offer.admin_address, m_rule.call_patience,
                        [self = shared_from_this(), offer](core::result<std::string> answered) {
                            self->on_pulled(offer, std::move(answered));
                        });
}

void configuration_follower::on_pulled(const peer_offer& offer, core::result<std::string> answered) {
    m_state.pull_busy = false;
    const auto answer = store::settle_result(std::move(answered));
    if (answer.value && adopt(*answer.value, offer.admin_address)) {
        step();
        return;
    }
    const auto reason =
        answer.value ? std::string("no higher revision in the answer") : answer.failure.message;
    m_parts.log.write(logging::event_id::configuration_pull_failed,
                      {{"peer", offer.admin_address}, {"reason", reason}});
    record_pull_failure(m_state, m_rule, m_random, m_parts.clock.now());
}

bool configuration_follower::adopt(const std::string& text, const std::string& source) {
    const auto offered = parse_stored_configuration(text);
    if (!offered) {
        m_parts.log.write(logging::event_id::configuration_refused,
                          {{"source", source}, {"reason", "malformed stored configuration"}});
        return false;
    }
    return m_parts.holder.adopt(*offered) == adoption::adopted;
}

void configuration_follower::adopt_current(const std::vector<store::object>& objects) {
    for (const auto& each : objects) {
        if (each.name == current_object) {
            adopt(each.value, "platform");
        }
    }
}

} // namespace monsoonlift::configuration
