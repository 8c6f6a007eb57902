/// The accept loop that serves every listening socket of this project.
#pragma once

#include "core/clock.h"
#include "logging/event_throttle.h"
#include "network/connection_source.h"
#include "store/scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::network {

/// Handlers for accepted connections and for failures to accept one.
struct acceptor_handlers {
    std::function<void(boost::asio::ip::tcp::socket)> accepted;
    /// Reports the reason for a failure and the number of failures that were not reported since the last
    /// report; called at most once in ten seconds.
    std::function<void(const std::string&, std::uint64_t)> failed;
    /// Whether one more connection may be accepted now; otherwise it stays queued for a pause. Optional.
    std::function<bool()> has_room = nullptr;
};

/// Accepts one connection after another. After a failure it waits before it tries again: when the process has
/// no file descriptors left, the connection stays queued, and accepting would fail again immediately in an
/// endless loop. It goes on after a handler that throws; the exception leaves the completion handler.
class acceptor : public std::enable_shared_from_this<acceptor> {
public:
    /// Delay before accepting is tried again after a failure.
    static constexpr std::chrono::milliseconds pause{100};

    /// `scheduler` and `source` must run their handlers one at a time.
    acceptor(std::shared_ptr<connection_source> source, std::shared_ptr<store::scheduler> scheduler,
             const core::clock& clock);

    /// Starts accepting; call it once. Objects that the handlers use must outlive the last handler call.
    void start(acceptor_handlers handlers);

    /// Stops accepting; safe to call from any thread and more than once.
    void stop();

private:
    void accept_next();
    void accept_one();
    void handle_accept(const boost::system::error_code& failure, boost::asio::ip::tcp::socket socket);
    void accept_later(const std::string& why);
    void report(const std::string& why);
    void accept_after_pause();

    std::shared_ptr<connection_source> m_source;
    std::shared_ptr<store::scheduler> m_scheduler;
    acceptor_handlers m_handlers;
    logging::event_throttle m_failures;
    std::atomic<bool> m_stopped = false;
};

/// An acceptor and the local address of its listening socket.
struct listening_acceptor {
    std::shared_ptr<acceptor> connections;
    boost::asio::ip::tcp::endpoint address;
};

/// Returns an acceptor that listens on the address, not started yet; throws boost::system::system_error if
/// the address cannot be bound.
[[nodiscard]] listening_acceptor
listen(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const core::clock& clock);

} // namespace monsoonlift::network
