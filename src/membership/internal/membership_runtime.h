#pragma once

#include "membership/internal/member_object_publisher.h"
#include "membership/membership_service.h"

#include "core/silence_watch.h"
#include "logging/event_throttle.h"
#include "store/asio_scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::membership::internal {

/// Implementation of membership_service: socket, timer and protocol state on one strand.
class membership_runtime : public std::enable_shared_from_this<membership_runtime> {
public:
    membership_runtime(const boost::asio::any_io_executor& executor, const core::clock& clock,
                       member_directory& directory, logging::event_log& log, store::object_api* platform,
                       membership_options options, membership_hooks hooks);

    /// Binds the socket and starts to join the fleet.
    [[nodiscard]] core::result<void> start();

    /// Runs `step` on the strand unless the service has stopped.
    void post(std::function<void(membership_runtime&)> step);

    // These must be called on the strand; see membership_service.
    void announce(const std::string& service);
    void withdraw();
    void record_deregistrations(const std::vector<core::departed_incarnation>& deregistrations,
                                const std::function<void()>& on_recorded);
    void forget_deregistrations();
    void drain();
    void leave(std::function<void()> done);
    void spread(const rumor& rumor_to_spread);
    void check_object_within(std::chrono::milliseconds longest);
    void stop();

    [[nodiscard]] std::string bound_address() const { return m_options.self.membership_address; }
    [[nodiscard]] bool joined() const { return m_joined; }
    [[nodiscard]] datagram_traffic traffic() const { return {m_sent_bytes, m_received_bytes}; }

private:
    void open_socket();
    void begin();
    void schedule_tick();
    void on_tick();
    void tell_revision();
    void note_running();
    void probe();
    void check_backend();
    void check_join();
    void check_groups();
    void schedule_object_check(const swim_message& message);
    void check_object();
    [[nodiscard]] member_object_publisher::hooks object_hooks();
    [[nodiscard]] std::optional<known_member> find_known_member(const std::string& address) const;
    void receive_next();
    void on_datagram(std::size_t bytes);
    void note_other_fleet(const swim_message& message);
    void report_peer_revision(const swim_message& message);
    void send(const std::vector<outgoing_message>& messages);
    void publish_changes();
    void publish(const swim_changes& changes);
    void publish(const member& changed);
    void log_change(const member& changed);
    void report_rumors(const std::vector<rumor>& received);
    void report_superseded();
    void leave_later(std::function<void()> done);
    void store_self();
    void handle_listed_peers(const std::vector<std::string>& peers);
    void leave_object(std::function<void()> done);

    core::steady_time m_next_group_check;
    std::atomic<std::uint64_t> m_sent_bytes = 0;
    std::atomic<std::uint64_t> m_received_bytes = 0;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    const core::clock& m_clock;
    member_directory& m_directory;
    logging::event_log& m_log;
    store::object_api* m_platform;
    store::asio_scheduler m_scheduler;
    membership_options m_options;
    membership_hooks m_hooks;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<member_object_publisher> m_object;
    logging::event_throttle m_other_fleet;
    swim_state m_state;
    std::array<char, 2048> m_buffer{};
    boost::asio::ip::udp::endpoint m_peer;
    core::silence_watch m_backend_silence;
    core::steady_time m_last_waiting_notice;
    std::optional<core::steady_time> m_object_check; ///< When to check for removal by a peer.
    std::atomic<bool> m_joined = false;
    bool m_superseded = false;
    bool m_stopped = false;
};

} // namespace monsoonlift::membership::internal
