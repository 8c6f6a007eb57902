#include "transport/tcp_transport.h"

#include "core/contain.h"
#include "logging/number_text.h"
#include "transport/frame_codec.h"
#include "transport/internal/connections.h"
#include "transport/internal/framing.h"
#include "transport/internal/tcp_address.h"

#include <utility>

namespace monsoonlift::transport {

namespace {

/// Returns the part of this daemon that sends frames to `target`: a frame for a gate comes from the entry,
/// and a frame for an entry from the gate.
frame_target sender_of(frame_target target) {
    switch (target) {
    case frame_target::entry:
        return frame_target::gate;
    case frame_target::gate:
        return frame_target::entry;
    case frame_target::control:
        return frame_target::control;
    }
    return target;
}

/// Describes the frame for the owner's handlers.
unsent_frame describe(const internal::outgoing_frame& message) {
    return {message.attempt, sender_of(message.target), message.begins_attempt};
}

} // namespace

tcp_transport::connections::connections(boost::asio::io_context& io, const transport_options& options,
                                        core::incarnation life, const core::clock& clock,
                                        logging::event_log& log)
    : connections(io, network::listen(io, internal::endpoint_to_bind(options.listen), clock), options, life,
                  clock, log) {}

tcp_transport::connections::connections(boost::asio::io_context& io, const network::listening_acceptor& peers,
                                        const transport_options& options, core::incarnation life,
                                        const core::clock& clock, logging::event_log& log)
    : m_io(io), m_clock(clock), m_log(log), m_misdirected(clock),
      m_inbox(peers), m_self{options.advertised.empty() ? internal::to_text(peers.address)
                                                        : options.advertised,
                             life},
      m_source_ip(options.source_ip), m_silence_timeout(options.silence_timeout) {}

tcp_transport::connections::~connections() {
    for (auto& [key, peer] : m_links) {
        peer->abandon();
    }
}

void tcp_transport::connections::start(frame_handlers handlers) {
    m_handlers = std::move(handlers);
    internal::inbox_handlers inbox;
    inbox.frame_received = [this](std::string_view bytes, internal::link_position& position) {
        return receive(bytes, position);
    };
    inbox.over_long = [this] {
        refuse_over_long();
    };
    inbox.not_accepted = [this](const std::string& why, std::uint64_t left_out) {
        not_accepted(why, left_out);
    };
    m_inbox.start(std::move(inbox));
}

void tcp_transport::connections::send(const core::endpoint_id& to, const frame& message) {
    const auto now = m_clock.now();
    auto bytes = encode(message, now, internal::prefix_bytes);
    if (to.address == m_self.address) {
        internal::link_position none;
        static_cast<void>(receive(std::string_view(bytes).substr(internal::prefix_bytes), none));
        return;
    }
    ++m_sent;
    internal::outgoing_frame outgoing;
    outgoing.encoded = now;
    outgoing.expires = message.expires.value_or(now + internal::default_queue_time);
    outgoing.attempt = message.attempt;
    outgoing.target = message.target;
    outgoing.begins_attempt = std::holds_alternative<request_head>(message.payload);
    if (bytes.size() > internal::prefix_bytes + internal::max_frame_bytes) {
        report_unsent(to.address, outgoing, loss_reason::over_long);
        return;
    }
    internal::set_prefix(bytes);
    outgoing.bytes = std::move(bytes);
    link_to(to.address, is_bulk(message))->send(std::move(outgoing));
}

void tcp_transport::connections::forget(const std::string& address) {
    for (const bool bulk : {false, true}) {
        link gone;
        {
            const std::scoped_lock lock(m_links_mutex);
            const auto found = m_links.find({address, bulk});
            if (found == m_links.end()) {
                continue;
            }
            gone = std::move(found->second);
            m_links.erase(found);
        }
        gone->close();
    }
}

void tcp_transport::connections::release(const std::string& address) {
    const std::scoped_lock lock(m_links_mutex);
    for (const bool bulk : {false, true}) {
        const auto found = m_links.find({address, bulk});
        if (found != m_links.end()) {
            found->second->close_if_idle();
        }
    }
}

transport_counters tcp_transport::connections::counters() const {
    return {m_received, m_sent, m_unsent, m_corrupt, m_wrong_incarnation};
}

tcp_transport::connections::link tcp_transport::connections::link_to(const std::string& address, bool bulk) {
    const std::scoped_lock lock(m_links_mutex);
    auto& peer = m_links[{address, bulk}];
    if (!peer) {
        peer = std::make_shared<internal::peer_link>(
            m_io, internal::route{address, m_source_ip, m_silence_timeout},
            internal::link_identity{++m_last_link, m_self.life, bulk}, m_clock, handlers_for(address));
    }
    return peer;
}

internal::link_handlers tcp_transport::connections::handlers_for(const std::string& address) {
    internal::link_handlers handlers;
    handlers.unsent = [this, address](const internal::outgoing_frame& message, loss_reason why) {
        report_unsent(address, message, why);
    };
    handlers.cut = [this, address](const internal::outgoing_frame& message) {
        report_cut(address, message);
    };
    handlers.not_connected = [this, address](const std::string& why, std::chrono::nanoseconds took) {
        m_log.write(logging::event_id::peer_not_connected,
                    {{"peer", address}, {"why", why}, {"took_ms", logging::milliseconds_text(took)}});
    };
    return handlers;
}

void tcp_transport::connections::report_unsent(const std::string& address,
                                               const internal::outgoing_frame& message, loss_reason why) {
    ++m_unsent;
    log_loss(address, message, why);
    m_handlers.unsent(describe(message));
}

void tcp_transport::connections::log_loss(const std::string& address, const internal::outgoing_frame& message,
                                          loss_reason why) {
    m_log.write(logging::event_id::frame_unsent,
                {{"attempt", core::to_string(message.attempt)},
                 {"to", std::string(to_string(message.target))},
                 {"peer", address},
                 {"reason", std::string(to_string(why))},
                 {"waited_ms", logging::milliseconds_text(m_clock.now() - message.encoded)}});
}

void tcp_transport::connections::report_cut(const std::string& address,
                                            const internal::outgoing_frame& message) {
    log_loss(address, message, loss_reason::link_broken);
    if (m_handlers.cut) {
        m_handlers.cut(describe(message));
    }
}

bool tcp_transport::connections::receive(std::string_view bytes, internal::link_position& position) {
    bool goes_on = true;
    core::contain([&] { goes_on = receive_new(bytes, position); },
                  [&](const std::string& why) { report_failed(bytes, why); });
    return goes_on;
}

void tcp_transport::connections::report_failed(std::string_view bytes, const std::string& why) {
    const auto message = decode(bytes, m_clock.now());
    if (!message) {
        m_log.write(logging::event_id::frame_failed, {{"why", why}});
        return;
    }
    m_log.write(logging::event_id::frame_failed, {{"attempt", core::to_string(message->attempt)},
                                                  {"at", std::string(to_string(message->target))},
                                                  {"why", why}});
    if (m_handlers.failed) {
        m_handlers.failed(*message);
    }
}

bool tcp_transport::connections::receive_new(std::string_view bytes, internal::link_position& position) {
    if (!position.link) {
        return receive_frame(bytes, position);
    }
    return position.link->handle_once(position.sequence++, [&] { return receive_frame(bytes, position); });
}

bool tcp_transport::connections::receive_frame(std::string_view bytes, internal::link_position& position) {
    auto message = decode(bytes, m_clock.now());
    const auto* opening = message ? std::get_if<link_opening>(&message->payload) : nullptr;
    if (opening != nullptr) {
        return open_link(message->sender, *opening, position);
    }
    ++m_received;
    if (!message) {
        ++m_corrupt;
        m_log.write(logging::event_id::frame_corrupt, {{"bytes", std::to_string(bytes.size())}});
        return false;
    }
    if (message->receiver != m_self.life) {
        drop_misdirected(*message);
        return true;
    }
    m_handlers.received(std::move(*message));
    return true;
}

void tcp_transport::connections::drop_misdirected(const frame& message) {
    ++m_wrong_incarnation;
    if (const auto left_out = m_misdirected.take()) {
        m_log.write(logging::event_id::frame_of_other_incarnation,
                    {{"receiver", std::to_string(message.receiver.value)},
                     {"sender", std::to_string(message.sender.value)},
                     {"left_out", std::to_string(*left_out)}});
    }
    if (message.receiver < m_self.life && m_handlers.misdirected) {
        m_handlers.misdirected(message);
    }
}

bool tcp_transport::connections::open_link(core::incarnation sender, const link_opening& opening,
                                           internal::link_position& position) {
    const bool is_first = !position.link;
    if (is_first) {
        position = {m_received_links.open(sender, opening.link, m_clock.now()), opening.first_sequence};
    }
    return is_first;
}

void tcp_transport::connections::refuse_over_long() {
    ++m_received;
    ++m_corrupt;
    m_log.write(logging::event_id::frame_corrupt,
                {{"longer_than_bytes", std::to_string(internal::max_frame_bytes)}});
}

void tcp_transport::connections::not_accepted(const std::string& why, std::uint64_t left_out) {
    m_log.write(logging::event_id::peers_not_accepted,
                {{"why", why}, {"left_out", std::to_string(left_out)}});
}

tcp_transport::tcp_transport(boost::asio::io_context& io, const transport_options& options,
                             core::incarnation life, const core::clock& clock, logging::event_log& log)
    : m_connections(std::make_unique<connections>(io, options, life, clock, log)) {}

tcp_transport::tcp_transport(boost::asio::io_context& io, const network::listening_acceptor& peers,
                             core::incarnation life, const core::clock& clock, logging::event_log& log)
    : m_connections(std::make_unique<connections>(io, peers, transport_options(), life, clock, log)) {}

tcp_transport::~tcp_transport() = default;

void tcp_transport::start(frame_handlers handlers) {
    m_connections->start(std::move(handlers));
}

void tcp_transport::send(const core::endpoint_id& to, frame message) {
    message.receiver = to.life;
    message.sender = m_connections->self().life;
    m_connections->send(to, message);
}

core::endpoint_id tcp_transport::self() const {
    return m_connections->self();
}

void tcp_transport::forget(const std::string& address) {
    m_connections->forget(address);
}

void tcp_transport::release(const std::string& address) {
    m_connections->release(address);
}

transport_counters tcp_transport::counters() const {
    return m_connections->counters();
}

} // namespace monsoonlift::transport
