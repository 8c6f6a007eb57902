/// Accepting connections: the one loop that every listening socket of ours is served by.
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

/// What becomes of connections, and of failures to take one.
struct acceptor_handlers {
    std::function<void(boost::asio::ip::tcp::socket)> accepted;
    /// Why, and how many failures were left out since the last one that was told; told once in ten seconds at
    /// most.
    std::function<void(const std::string&, std::uint64_t)> failed;
};

/// Accepts one connection after the other. After a failure it waits before it tries again: without file
/// descriptors the connection stays queued and accepting would fail again at once, without end.
class acceptor : public std::enable_shared_from_this<acceptor> {
public:
    /// Before accepting is tried again after it failed.
    static constexpr std::chrono::milliseconds pause{100};

    /// `scheduler` and `source` run their tasks one at a time.
    acceptor(std::shared_ptr<connection_source> source, std::shared_ptr<store::scheduler> scheduler,
             const core::clock& clock);

    /// Begins to accept; call it once. What the handlers use must live until no handler runs any more.
    void start(acceptor_handlers handlers);

    /// Accepts no more; safe to call from any thread, more than once.
    void stop();

private:
    void accept_next();
    void take(const boost::system::error_code& failure, boost::asio::ip::tcp::socket socket);
    void accept_later(const std::string& why);

    std::shared_ptr<connection_source> m_source;
    std::shared_ptr<store::scheduler> m_scheduler;
    acceptor_handlers m_handlers;
    logging::event_throttle m_failures;
    std::atomic<bool> m_stopped = false;
};

/// An acceptor and the address that it listens on.
struct listening_acceptor {
    std::shared_ptr<acceptor> connections;
    boost::asio::ip::tcp::endpoint address;
};

/// Binds the address; throws boost::system::system_error if that fails.
[[nodiscard]] listening_acceptor
listen(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const core::clock& clock);

} // namespace monsoonlift::network
