#pragma once

#include "core/clock.h"
#include "entry/internal/call_exchange.h"
#include "entry/internal/caller_connection.h"
#include "entry/internal/entry_state.h"
#include "entry/internal/request_connection.h"
#include "transfer/further_looks.h"
#include "transfer/watchdog.h"

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <optional>

namespace monsoonlift::entry::internal {

/// Serves the requests of one caller connection. Reads on while requests are in progress that may run side by
/// side; every other request runs alone. Keeps itself alive until the connection ends.
class caller_session : public std::enable_shared_from_this<caller_session> {
public:
    caller_session(entry_state& shared, std::shared_ptr<entry_state> keep_alive,
                   boost::asio::ip::tcp::socket socket);

    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;
    ~caller_session();

    void start();

    /// Closes the connection if it waits for a request, else after the current answer. Thread-safe.
    void close_when_idle();

    /// Closes the connection if it waits for a request; until it is known whether it does, it doesn't count
    /// as idle. Thread-safe.
    void close_if_idle();

    /// Returns since when the connection has waited for a request, if that is long enough to close it for
    /// another. Thread-safe.
    [[nodiscard]] std::optional<core::steady_time> idle_since() const;

private:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    /// End of the idle time under the configuration in force; now for one that doesn't count as idle.
    [[nodiscard]] core::steady_time idle_until() const;

    void watch_until(core::steady_time until);

    /// Handles the end of the time limit; that of an idle connection may have been put off by a new
    /// configuration.
    void out_of_time();

    /// Ends a connection that is at work or about to close, after further looks.
    void look_again_or_end();

    /// Ends the wait for a request; one that has begun to arrive gets a moment for its rest. `closes_unread`
    /// tells whether the connection is closed at once if none has.
    void end_wait(bool closes_unread);

    awaitable<void> run();
    awaitable<void> serve_requests();
    awaitable<void> take_request();
    void start_exchange(std::shared_ptr<call_exchange> exchange);
    awaitable<void> serve_request(std::shared_ptr<call_exchange> exchange);
    awaitable<void> refuse_head(caller_connection::head_outcome outcome);

    /// Whether the next head may be read while requests are in progress.
    [[nodiscard]] bool may_read_ahead() const;

    /// Waits until no more than `count` requests are in progress; meanwhile the connection isn't read.
    awaitable<void> wait_for_open(std::size_t count);
    void watch_caller();
    void become_idle();
    void request_ended();
    void begin_close();

    entry_state& m_shared;
    std::shared_ptr<entry_state> m_keep_alive;
    std::shared_ptr<transfer::watchdog> m_watchdog;
    std::shared_ptr<caller_connection> m_connection;
    bool m_waits_for_head = false; ///< read_head() is pending.
    bool m_runs_alone = false;     ///< The request in progress must end before anything behind it is read.
    bool m_is_idle = true; ///< No request is in progress and read_head() is pending; it may have its request.
    bool m_closes_unread = false; ///< A connection whose wait was ended is closed without reading on.
    bool m_is_closing = false;    ///< The session serves no further request.
    bool m_has_waited_on = false; ///< The time for the rest of a head that has begun to arrive is running.
    transfer::further_looks m_looks{
        transfer::looks_after_silence};          ///< Looks at the request in progress after its time limit.
    std::atomic<core::steady_time> m_idle_since; ///< The latest possible moment while it doesn't wait.
};

} // namespace monsoonlift::entry::internal
