#include "tools/internal/caller_pool.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace monsoonlift::tools::internal {

caller_pool::caller_pool(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint target,
                         std::size_t limit)
    : m_context(context), m_target(std::move(target)), m_limit(limit) {}

boost::asio::awaitable<std::unique_ptr<caller_connection>>
caller_pool::take(std::chrono::steady_clock::time_point deadline) {
    while (m_idle.empty() && m_open >= m_limit) {
        const auto waiter = std::make_shared<boost::asio::steady_timer>(m_context, deadline);
        m_waiters.push_back(waiter);
        boost::system::error_code error;
        co_await waiter->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        std::erase(m_waiters, waiter);
        if (!error) {
            co_return nullptr;
        }
    }
    if (m_idle.empty()) {
        ++m_open;
        co_return std::make_unique<caller_connection>(m_context);
    }
    auto connection = std::move(m_idle.back());
    m_idle.pop_back();
    co_return connection;
}

void caller_pool::put(std::unique_ptr<caller_connection> connection) {
    if (connection->connected) {
        m_idle.push_back(std::move(connection));
    } else {
        --m_open;
    }
    if (!m_waiters.empty()) {
        m_waiters.front()->cancel();
        m_waiters.pop_front();
    }
}

} // namespace monsoonlift::tools::internal
