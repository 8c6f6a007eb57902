#pragma once

#include "core/clock.h"
#include "core/http_read_buffer.h"
#include "entry/caller_protocol.h"
#include "entry/internal/arrival_log.h"
#include "entry/request_parsing.h"
#include "transfer/watchdog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::entry::internal {

class request_connection;

/// The head of a request as it was read, and what it says about the connection.
struct request_head {
    request_fields fields;
    unsigned version = 11;
    bool keeps_alive = false; ///< The caller lets the connection stay open after the answer.
    bool has_body = false;    ///< A part of the request is still to be read.
    bool expects_continue = false;
    core::steady_time arrived; ///< When the whole head could have been read.
};

/// What a caller connection needs besides its socket.
struct connection_rules {
    std::uint32_t head_limit_bytes = 0;
    std::chrono::milliseconds answer_patience{0}; ///< Time to write an answer that has waited for its turn.
    const caller_protocol& protocol;              ///< Must outlive the connection.
    const core::clock& clock;                     ///< Must outlive the connection.
};

/// An HTTP/1.1 connection with one caller: reads the requests and keeps the order of their answers, which
/// request_connection writes. Used on one strand only.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    /// Outcome of waiting for a request head.
    enum class head_outcome {
        arrived,
        closed,     ///< The caller closed its side, the connection broke, or an answer closed it.
        not_begun,  ///< The wait was ended before any byte of a request had arrived.
        incomplete, ///< The wait was ended though a part of a head had arrived.
        malformed,
        too_large
    };

    /// Which pending read_head() is to end.
    enum class wait_end {
        none,
        before_request, ///< One for which no byte of a request has arrived.
        always          ///< Any, unless the whole head has arrived.
    };

    caller_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<transfer::watchdog> watchdog,
                      const connection_rules& rules);

    [[nodiscard]] boost::asio::any_io_executor strand() { return m_socket.get_executor(); }
    [[nodiscard]] boost::asio::ip::tcp::socket& socket() { return m_socket; }
    [[nodiscard]] const caller_protocol& protocol() const { return m_rules.protocol; }

    /// Reads the next request head. While requests are open, an outcome other than `arrived` is also the
    /// notice that the caller sends no further request.
    awaitable<head_outcome> read_head();

    /// Returns the head that read_head() has read, or what is known of one that it could not read.
    [[nodiscard]] request_head take_head();

    /// Appends up to `limit` bytes of the body to `into`; false if the body ends early or is malformed.
    awaitable<bool> read_body(std::string& into, std::size_t limit);
    [[nodiscard]] bool is_body_read() const { return m_parser->is_done(); }

    /// Adds a request behind the open ones; the answer to the first open one is written.
    void add(request_connection& request);
    void remove(request_connection& request);
    [[nodiscard]] std::size_t open_requests() const { return m_open.size(); }
    [[nodiscard]] bool is_turn_of(const request_connection& request) const;

    /// Gives an answer that has waited for its turn time to be written.
    void begin_turn();

    /// Counts the bytes of answers that wait for their turn.
    void add_held(std::size_t bytes) { m_held_bytes += bytes; }
    void remove_held(std::size_t bytes);
    [[nodiscard]] std::size_t held_bytes() const { return m_held_bytes; }

    /// Whether an answer has begun and is not complete.
    [[nodiscard]] bool is_answer_begun() const;

    /// From now on the answer to the last request that was read announces that the connection will be closed.
    void close_after_answer() { m_close_after_answer = true; }
    [[nodiscard]] bool is_to_close() const { return m_close_after_answer; }
    [[nodiscard]] bool closes_after(const request_connection& request) const;

    /// Makes the answer of this request the last one: those behind it are dropped, and nothing more is read.
    void end_after(const request_connection& request);
    [[nodiscard]] bool can_go_on() const { return m_can_go_on; }

    /// Tells all open requests if the caller closes its side. Reading does so anyway; this is for the time in
    /// which the connection isn't read.
    void watch();

    /// Tells all open requests that the caller has gone.
    void caller_left();

    /// Waits until a request has ended, or fewer bytes wait, or the caller has gone.
    awaitable<void> wait_for_change();

    /// Lets the open requests be at work until then, unless one of them was given longer.
    void allow_until(core::steady_time until);

    /// Ends a pending read_head() if `which` says so. Bytes that have arrived count even if nothing has read
    /// them yet, so the outcome of read_head() alone tells whether there is a request. No answer may be
    /// written meanwhile.
    void end_wait(wait_end which);

    /// Resets the connection, so that the caller can't take a truncated answer for complete.
    void abort();

    /// Closes the connection without reading on, so that the caller of a request under way can tell that it
    /// was not read; no request may be in progress.
    void close_unread();

    /// Closes the sending side after the last answer; a pending read_head() discards what arrives.
    void shut_down();

    /// Closes the connection once the caller has closed its side, so that it can read the last answer.
    awaitable<void> close();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    awaitable<boost::system::error_code> read_whole_head();
    awaitable<boost::system::error_code> read_more();
    awaitable<boost::system::error_code> read_some(std::size_t room);
    [[nodiscard]] head_outcome outcome_of(const boost::system::error_code& failure) const;
    [[nodiscard]] bool has_begun() const;
    [[nodiscard]] bool has_unread_bytes() const;
    void drop_from(std::size_t first);
    void notify_change();
    void wait_for_readable();
    void check_caller_closed();
    void look_later();
    void look_for_hang_up();
    void note_unread_bytes();

    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<transfer::watchdog> m_watchdog;
    connection_rules m_rules;
    core::http_read_buffer m_buffer;
    arrival_log m_arrivals;
    core::steady_time m_head_arrived;
    std::optional<parser> m_parser;
    std::vector<request_connection*> m_open; ///< Requests without a complete answer, in their order.
    std::size_t m_held_bytes = 0;
    core::steady_time m_busy_until{}; ///< Longest time limit of the open requests.
    std::optional<boost::asio::steady_timer> m_change;
    std::optional<boost::asio::steady_timer> m_look;
    wait_end m_wait_end = wait_end::none;
    bool m_is_reading = false; ///< A read is pending, which tells if the caller closes its side.
    bool m_watches = false;    ///< The caller's presence is watched while the connection isn't read.
    bool m_waits_for_readable = false;
    bool m_is_looking = false; ///< The next look for a hang-up is scheduled.
    bool m_has_caller_left = false;
    bool m_close_after_answer = false;
    bool m_is_shut_down = false;
    bool m_can_go_on = true;
};

} // namespace monsoonlift::entry::internal
