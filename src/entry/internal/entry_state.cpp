#include "entry/internal/entry_state.h"

#include "entry/internal/caller_session.h"
#include "network/address_text.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace monsoonlift::entry::internal {

using boost::asio::ip::tcp;

entry_state::entry_state(network::listening_acceptor connections, const entry_options& chosen,
                         transport::frame_sender& frames, gate::nested_budgets& nested,
                         configuration_source source, const core::clock& time, logging::event_log& written,
                         metrics::metrics_registry& metrics)
    : options(chosen), sender(frames), budgets(nested), configuration(std::move(source)), clock(time),
      log(written), routes(chosen.decisions_on, chosen.data_centre, chosen.random_seed, chosen.retry_burst,
                           chosen.grant_burst, chosen.whole_chains),
      classes([&metrics, &time](const std::string& name) {
          return std::make_unique<call_class>(metrics, time, name);
      }),
      accounts(metrics), events(written, time), decisions(written, time), counts(written, time),
      sessions(chosen.most_connections), m_acceptor(std::move(connections)) {}

void entry_state::start() {
    const auto accepted = [weak = weak_from_this()](tcp::socket socket) {
        if (const auto self = weak.lock()) {
            const auto session = std::make_shared<caller_session>(*self, self, std::move(socket));
            self->sessions.add(session);
            session->start();
        }
    };
    const auto not_accepted = [weak = weak_from_this()](const std::string& why, std::uint64_t left_out) {
        if (const auto self = weak.lock()) {
            self->events.not_accepted(why, left_out);
        }
    };
    const auto has_room = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->sessions.has_room();
    };
    m_acceptor.connections->start({accepted, not_accepted, has_room});
}

std::string entry_state::address() const {
    return network::to_text(m_acceptor.address);
}

void entry_state::stop_accepting() {
    m_acceptor.connections->stop();
}

std::chrono::milliseconds entry_state::idle_patience() const {
    const auto rules = configuration();
    return rules ? std::max(options.idle_patience, rules->caller_idle_time) : options.idle_patience;
}

void entry_state::close_idle_connections() {
    m_closing = true;
    sessions.close_when_idle();
}

bool entry_state::speaks_for(const transport::frame& message, const core::endpoint_id& gate) {
    if (message.sender == gate.life) {
        return true;
    }
    const auto* end = std::get_if<transport::attempt_end>(&message.payload);
    return end != nullptr && end->successor_of == gate.life;
}

void entry_state::received(transport::frame message) {
    const auto channel = find(message.attempt);
    if (!channel || !speaks_for(message, channel->endpoint())) {
        events.unknown_frame(message.attempt);
        return;
    }
    channel->deliver(std::move(message.payload));
}

void entry_state::unsent(const core::attempt_id& attempt, bool begins_attempt) {
    const auto channel = find(attempt);
    if (channel) {
        channel->notify(begins_attempt ? local_event::not_sent : local_event::link_broken);
    }
}

void entry_state::frame_failed(const transport::frame& message) {
    const auto channel = find(message.attempt);
    if (channel && speaks_for(message, channel->endpoint())) {
        channel->notify(local_event::broken_off);
    }
}

void entry_state::member_changed(const membership::member& changed) {
    routes.member_changed(changed, clock.now());
    notify_affected_attempts(changed);
}

void entry_state::notify_affected_attempts(const membership::member& changed) {
    const auto is_replaced = [&](const core::endpoint_id& endpoint) {
        return endpoint.address == changed.id.address && endpoint.life < changed.id.life;
    };
    notify_attempts(is_replaced, local_event::endpoint_replaced);
    if (changed.status != membership::member_status::alive) {
        notify_attempts([&](const core::endpoint_id& endpoint) { return endpoint == changed.id; },
                        local_event::endpoint_doubted);
    }
}

void entry_state::cancel_all_attempts() {
    notify_attempts([](const core::endpoint_id&) { return true; }, local_event::stopping);
}

void entry_state::notify_attempts(const std::function<bool(const core::endpoint_id&)>& chosen,
                                  local_event event) {
    std::vector<channel_pointer> matching;
    {
        const std::scoped_lock lock(m_channels_mutex);
        for (const auto& [attempt, channel] : m_channels) {
            if (chosen(channel->endpoint())) {
                matching.push_back(channel);
            }
        }
    }
    for (const auto& channel : matching) {
        channel->notify(event);
    }
}

void entry_state::open(const core::attempt_id& attempt, channel_pointer channel) {
    const std::scoped_lock lock(m_channels_mutex);
    m_channels.emplace(attempt, std::move(channel));
}

void entry_state::close(const core::attempt_id& attempt) {
    const std::scoped_lock lock(m_channels_mutex);
    m_channels.erase(attempt);
}

void entry_state::send(const core::attempt_id& attempt, const core::endpoint_id& gate,
                       decltype(transport::frame::payload) payload) {
    transport::frame message;
    message.attempt = attempt;
    message.target = transport::frame_target::gate;
    message.payload = std::move(payload);
    if (!std::holds_alternative<transport::request_head>(message.payload)) {
        message.expires = clock.now() + transport::known_call_patience;
    }
    sender.send(gate, std::move(message));
}

entry_state::channel_pointer entry_state::find(const core::attempt_id& attempt) const {
    const std::scoped_lock lock(m_channels_mutex);
    const auto found = m_channels.find(attempt);
    return found == m_channels.end() ? nullptr : found->second;
}

entry_counters entry_state::counters() const {
    return {calls, answered, refused, failed, attempts, retries, in_flight};
}

} // namespace monsoonlift::entry::internal
