#pragma once

#include "logging/event_throttle.h"
#include "transport/internal/frame_inbox.h"
#include "transport/internal/peer_link.h"
#include "transport/tcp_transport.h"

#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace monsoonlift::transport {

/// Outgoing links to peers and incoming connections of one transport.
class tcp_transport::connections {
public:
    connections(boost::asio::io_context& io, const transport_options& options, core::incarnation life,
                const core::clock& clock, logging::event_log& log);
    connections(boost::asio::io_context& io, const network::listening_acceptor& peers,
                const transport_options& options, core::incarnation life, const core::clock& clock,
                logging::event_log& log);

    ~connections();
    connections(const connections&) = delete;
    connections& operator=(const connections&) = delete;

    void start(frame_handlers handlers);
    void send(const core::endpoint_id& to, const frame& message);
    void forget(const std::string& address);
    void release(const std::string& address);
    [[nodiscard]] const core::endpoint_id& self() const { return m_self; }
    [[nodiscard]] transport_counters counters() const;

private:
    using link = std::shared_ptr<internal::peer_link>;

    [[nodiscard]] link link_to(const std::string& address, bool bulk);
    [[nodiscard]] internal::link_handlers handlers_for(const std::string& address);
    void report_unsent(const std::string& address, const internal::outgoing_frame& message, loss_reason why);
    void report_cut(const std::string& address, const internal::outgoing_frame& message);
    void log_loss(const std::string& address, const internal::outgoing_frame& message, loss_reason why);
    [[nodiscard]] bool receive(std::string_view bytes, internal::link_position& position);
    [[nodiscard]] bool receive_new(std::string_view bytes, internal::link_position& position);
    [[nodiscard]] bool receive_frame(std::string_view bytes, internal::link_position& position);
    void report_failed(std::string_view bytes, const std::string& why);
    [[nodiscard]] bool open_link(core::incarnation sender, const link_opening& opening,
                                 internal::link_position& position);
    void drop_misdirected(const frame& message);
    void refuse_over_long();
    void not_accepted(const std::string& why, std::uint64_t left_out);

    boost::asio::io_context& m_io;
    const core::clock& m_clock;
    logging::event_log& m_log;
    logging::event_throttle m_misdirected;
    internal::frame_inbox m_inbox;
    const core::endpoint_id m_self;
    const std::string m_source_ip;
    const std::chrono::milliseconds m_silence_timeout;
    frame_handlers m_handlers;
    internal::received_links m_received_links;

    std::mutex m_links_mutex;
    std::map<std::pair<std::string, bool>, link> m_links;
    std::uint64_t m_last_link = 0; ///< Number of the newest link.

    std::atomic<std::uint64_t> m_received = 0;
    std::atomic<std::uint64_t> m_sent = 0;
    std::atomic<std::uint64_t> m_unsent = 0;
    std::atomic<std::uint64_t> m_corrupt = 0;
    std::atomic<std::uint64_t> m_wrong_incarnation = 0;
};

} // namespace monsoonlift::transport
