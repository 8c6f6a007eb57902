#include "membership/internal/membership_runtime.h"

#include "core/go_on.h"
#include "membership/internal/udp_address.h"
#include "membership/message_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace monsoonlift::membership::internal {

namespace {

/// Bytes of the IPv4 and UDP headers.
constexpr std::uint64_t datagram_header_bytes = 28;

using boost::asio::ip::udp;
using logging::event_id;

constexpr std::chrono::seconds waiting_notice_interval{10};
/// Between notifying peers of leaving and removing the platform object.
constexpr std::chrono::milliseconds leave_pause{300};

event_id event_of(member_status status) {
    switch (status) {
    case member_status::alive:
        return event_id::member_alive;
    case member_status::suspect:
        return event_id::member_suspected;
    case member_status::dead:
        return event_id::member_dead;
    case member_status::left:
        return event_id::member_left;
    }
    return event_id::member_alive;
}

} // namespace

membership_runtime::membership_runtime(const boost::asio::any_io_executor& executor, const core::clock& clock,
                                       member_directory& directory, logging::event_log& log,
                                       store::object_api* platform, membership_options options,
                                       membership_hooks hooks)
    : m_strand(boost::asio::make_strand(executor)), m_clock(clock), m_directory(directory), m_log(log),
      m_platform(platform), m_scheduler(m_strand), m_options(std::move(options)), m_hooks(std::move(hooks)),
      m_socket(m_strand), m_timer(m_strand), m_other_fleet(clock),
      m_backend_silence(m_options.backend_patience) {}

core::result<void> membership_runtime::start() {
    const std::optional<udp::endpoint> endpoint = parse_endpoint(m_options.self.membership_address);
    if (!endpoint) {
        return core::fail(
            {core::error_code::invalid_input,
             "membership address " + m_options.self.membership_address + " is not of the form ip:port"});
    }
    boost::system::error_code fault;
    m_socket.open(endpoint->protocol(), fault);
    if (!fault) {
        m_socket.bind(*endpoint, fault);
    }
    if (!fault) {
        m_socket.non_blocking(true, fault);
    }
    if (fault) {
        return core::fail(
            {core::error_code::unavailable,
             "membership address " + m_options.self.membership_address + ": " + fault.message()});
    }
    m_options.self.membership_address = to_text(m_socket.local_endpoint());
    m_state = make_swim(m_options.self, m_options.limits, m_options.seed_peers, m_options.random_seed,
                        m_clock.now());
    store_self();
    post([](membership_runtime& self) { self.begin(); });
    return {};
}

void membership_runtime::post(std::function<void(membership_runtime&)> step) {
    boost::asio::post(m_strand, [weak = weak_from_this(), step = std::move(step)] {
        const auto self = weak.lock();
        if (self && !self->m_stopped) {
            step(*self);
        }
    });
}

void membership_runtime::begin() {
    m_log.write(event_id::membership_started, {{"address", m_options.self.membership_address}});
    m_last_waiting_notice = m_clock.now();
    if (m_platform != nullptr) {
        m_object =
            std::make_shared<member_object_publisher>(m_strand, *m_platform, m_scheduler, m_state.self,
                                                      m_options.random_seed, m_clock, m_log, object_hooks());
        m_object->publish();
    } else if (m_hooks.on_recorded_deregistrations) {
        m_hooks.on_recorded_deregistrations({});
    }
    receive_next();
    on_tick();
}

void membership_runtime::schedule_tick() {
    m_timer.expires_after(m_options.tick_interval);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& fault) {
        const auto self = weak.lock();
        if (self && !self->m_stopped && !fault) {
            self->on_tick();
        }
    });
}

void membership_runtime::on_tick() {
    using self = membership_runtime;
    constexpr std::array steps{&self::tell_revision, &self::note_running,   &self::check_backend,
                               &self::probe,         &self::check_join,     &self::check_groups,
                               &self::check_object,  &self::publish_changes};
    const auto run_steps = [this, &steps] {
        core::for_each_apart(steps, [this](auto step) { (this->*step)(); });
    };
    core::run_then(run_steps, [this] {
        if (!m_stopped) {
            schedule_tick();
        }
    });
}

void membership_runtime::tell_revision() {
    if (m_hooks.own_revision) {
        send(set_revision(m_state, m_hooks.own_revision()));
    }
}

void membership_runtime::note_running() {
    if (m_object != nullptr) {
        m_object->note_running();
    }
}

void membership_runtime::probe() {
    send(tick(m_state, m_clock.now()));
}

void membership_runtime::check_backend() {
    const bool silent = m_backend_silence.look(m_clock.now());
    if (!silent || m_state.self.service.empty()) {
        return;
    }
    m_log.write(event_id::backend_silent, {{"service", m_state.self.service}});
    withdraw();
}

void membership_runtime::check_join() {
    if (m_state.join.joined) {
        if (!m_joined.exchange(true)) {
            m_log.write(event_id::membership_joined,
                        {{"members", std::to_string(m_state.members.size() + 1)}});
        }
        return;
    }
    if (m_clock.now() - m_last_waiting_notice < waiting_notice_interval) {
        return;
    }
    m_last_waiting_notice = m_clock.now();
    m_log.write(event_id::membership_waiting,
                {{"seed_peers", std::to_string(m_options.seed_peers.size())},
                 {"peers_known", std::to_string(m_state.join.seeds.size())},
                 {"advice", "name a live peer in seed_peers or wait for the platform"}});
}

void membership_runtime::receive_next() {
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_peer,
        [weak = weak_from_this()](const boost::system::error_code& fault, std::size_t bytes) {
            const auto self = weak.lock();
            if (!self || self->m_stopped || fault == boost::asio::error::operation_aborted) {
                return;
            }
            const auto handle = [&self, &fault, bytes] {
                if (!fault) {
                    self->on_datagram(bytes);
                }
            };
            core::run_then(handle, [&self] {
                if (!self->m_stopped) {
                    self->receive_next();
                }
            });
        });
}

void membership_runtime::on_datagram(std::size_t bytes) {
    m_received_bytes += bytes + datagram_header_bytes;
    const std::optional<swim_message> message = decode({m_buffer.data(), bytes});
    if (!message) {
        m_log.write(event_id::datagram_refused,
                    {{"peer", to_text(m_peer)}, {"bytes", std::to_string(bytes)}});
        return;
    }
    if (message->fleet != m_options.fleet) {
        note_other_fleet(*message);
        return;
    }
    send(receive(m_state, to_text(m_peer), *message, m_clock.now()));
    report_peer_revision(*message);
    schedule_object_check(*message);
    publish_changes();
}

void membership_runtime::note_other_fleet(const swim_message& message) {
    const auto left_out = m_other_fleet.take();
    if (left_out) {
        m_log.write(
            event_id::datagram_of_other_fleet,
            {{"peer", to_text(m_peer)}, {"fleet", message.fleet}, {"left_out", std::to_string(*left_out)}});
    }
}

void membership_runtime::report_peer_revision(const swim_message& message) {
    const bool is_later = message.revision > m_state.revision && !message.sender_admin_address.empty();
    if (is_later && m_hooks.on_peer_revision) {
        m_hooks.on_peer_revision(message.sender_admin_address, message.revision);
    }
}

void membership_runtime::send(const std::vector<outgoing_message>& messages) {
    for (const outgoing_message& outgoing : messages) {
        const std::optional<udp::endpoint> receiver = parse_endpoint(outgoing.address);
        if (!receiver) {
            continue;
        }
        swim_message message = outgoing.message;
        message.fleet = m_options.fleet;
        const std::string datagram = encode(message);
        boost::system::error_code ignored;
        m_socket.send_to(boost::asio::buffer(datagram), *receiver, 0, ignored);
        m_sent_bytes += datagram.size() + datagram_header_bytes;
    }
}

void membership_runtime::publish_changes() {
    const swim_changes changes = take_changes(m_state);
    const std::array<std::function<void()>, 4> steps{
        [&] { publish(changes); },
        [this] { store_self(); },
        [&] { report_rumors(changes.new_rumors); },
        [this] { report_superseded(); },
    };
    core::for_each_apart(steps, [](const auto& step) { step(); });
}

void membership_runtime::publish(const swim_changes& changes) {
    const auto forget_expired = [&] {
        for (const std::string& address : changes.expired) {
            m_directory.forget(address);
        }
    };
    core::run_then(
        [&] { core::for_each_apart(changes.changed, [this](const member& one) { publish(one); }); },
        forget_expired);
}

void membership_runtime::publish(const member& changed) {
    core::run_then([&] { log_change(changed); }, [&] { m_directory.store(changed); });
}

void membership_runtime::log_change(const member& changed) {
    const std::optional<member> before = m_directory.find(changed.id.address);
    const bool is_new_status =
        !before || before->status != changed.status || before->id.life != changed.id.life;
    if (is_new_status) {
        m_log.write(
            event_of(changed.status),
            {{"member", changed.name}, {"address", changed.id.address}, {"service", changed.service}});
    }
}

void membership_runtime::report_rumors(const std::vector<rumor>& received) {
    if (m_hooks.on_rumor) {
        core::for_each_apart(received, m_hooks.on_rumor);
    }
}

void membership_runtime::report_superseded() {
    if (!m_state.superseded_by || m_superseded) {
        return;
    }
    m_superseded = true;
    const auto write_line = [this] {
        m_log.write(event_id::address_taken,
                    {{"address", m_state.self.id.address}, {"other_name", m_state.superseded_by->name}});
    };
    core::run_then(write_line, [this] {
        if (m_hooks.on_superseded) {
            m_hooks.on_superseded(*m_state.superseded_by);
        }
    });
}

void membership_runtime::store_self() {
    m_directory.store(m_state.self);
}

void membership_runtime::announce(const std::string& service) {
    m_backend_silence.heard(m_clock.now());
    if (m_state.self.service != service) {
        m_log.write(event_id::backend_announced, {{"service", service}});
    }
    send(announce_self(m_state, service, m_state.self.draining, m_state.self.status));
    store_self();
}

void membership_runtime::withdraw() {
    if (!m_state.self.service.empty()) {
        m_log.write(event_id::backend_withdrawn, {{"service", m_state.self.service}});
    }
    send(announce_self(m_state, {}, m_state.self.draining, m_state.self.status));
    store_self();
}

void membership_runtime::drain() {
    send(announce_self(m_state, m_state.self.service, true, m_state.self.status));
    store_self();
}

void membership_runtime::leave(std::function<void()> done) {
    const auto say_farewell = [this] {
        send(announce_self(m_state, {}, true, member_status::left));
        store_self();
    };
    core::run_then(say_farewell, [this, &done] { leave_later(std::move(done)); });
}

void membership_runtime::leave_later(std::function<void()> done) {
    auto pause = std::make_shared<boost::asio::steady_timer>(m_strand, leave_pause);
    pause->async_wait([self = shared_from_this(), pause, done = std::move(done)](
                          const boost::system::error_code&) { self->leave_object(done); });
}

void membership_runtime::spread(const rumor& rumor_to_spread) {
    send(membership::spread(m_state, rumor_to_spread, m_clock.now()));
    publish_changes();
}

void membership_runtime::stop() {
    m_stopped = true;
    m_timer.cancel();
    if (m_object != nullptr) {
        m_object->stop();
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace monsoonlift::membership::internal
