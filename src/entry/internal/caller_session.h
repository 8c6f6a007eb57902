#pragma once

#include "entry/internal/caller_connection.h"
#include "entry/internal/entry_state.h"
#include "transfer/watchdog.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace monsoonlift::entry::internal {

/// Serves the requests of one caller connection, one after another. Keeps itself alive until the connection
/// ends.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(entry_state& shared, std::shared_ptr<entry_state> keep_alive,
                   boost::asio::ip::tcp::socket socket);

    void start();

    /// Closes the connection if it waits for a request, else after the current answer. Thread-safe.
    void close_when_idle();

private:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    awaitable<void> run();
    awaitable<void> serve_requests();
    awaitable<void> serve_request();
    awaitable<void> refuse_head(caller_connection::head_outcome outcome);

    entry_state& m_shared;
    std::shared_ptr<entry_state> m_keep_alive;
    std::shared_ptr<caller_connection> m_connection;
    std::shared_ptr<transfer::watchdog> m_watchdog;
    bool m_is_idle = true; ///< The connection waits for the head of a request.
};

} // namespace monsoonlift::entry::internal
