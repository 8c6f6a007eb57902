#include "gate/internal/backend_pool.h"

#include "core/network_address.h"

#include <boost/asio/error.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace monsoonlift::gate::internal {

namespace {

/// False if the socket is readable: the peer has closed it or has sent bytes without a request.
bool is_open_and_idle(boost::asio::ip::tcp::socket& socket) {
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address) {
    const auto parsed = core::parse_network_address(address);
    return parsed ? parsed->endpoint<boost::asio::ip::tcp>() : boost::asio::ip::tcp::endpoint();
}

bool has_ended_in_order(const backend_connection& connection) {
    const auto& failure = connection.write_failure;
    // NOTE: Linux reports a reset to a write as EPIPE instead of ECONNRESET if the peer had ended its sending
    // before, and a write that the gate itself ended has received nothing of the socket.
    return !failure || failure == boost::asio::error::broken_pipe ||
           failure == boost::asio::error::operation_aborted;
}

backend_pool::backend_pool(boost::asio::any_io_executor executor) : m_executor(std::move(executor)) {}

backend_pool::connection backend_pool::take_idle(const std::string& address,
                                                 std::chrono::milliseconds idle_limit,
                                                 core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    while (!m_idle.empty()) {
        auto idle = std::move(m_idle.back());
        m_idle.pop_back();
        // NOTE: this destroys the expired connection, so that the one that replaces it doesn't increase the
        // number of connections to the backend server.
        if (now - idle->idle_since > idle_limit) {
            return nullptr;
        }
        if (idle->address == address && is_open_and_idle(idle->socket)) {
            return idle;
        }
    }
    return nullptr;
}

backend_pool::connection backend_pool::make(const std::string& address) const {
    auto made = std::make_shared<backend_connection>(m_executor);
    made->address = address;
    return made;
}

void backend_pool::give_back(connection idle, std::size_t max_idle, core::steady_time now) {
    idle->idle_since = now;
    idle->has_answered = true;
    const std::scoped_lock lock(m_mutex);
    if (m_idle.size() < max_idle) {
        m_idle.push_back(std::move(idle));
    }
}

} // namespace monsoonlift::gate::internal
