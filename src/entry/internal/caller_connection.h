#pragma once

#include "core/http_read_buffer.h"
#include "entry/caller_protocol.h"
#include "entry/request_parsing.h"
#include "entry/types/problem.h"
#include "transport/types/frame.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace monsoonlift::entry::internal {

/// Values of the Monsoonlift-* fields that label an answer.
struct answer_labels {
    core::verdict run = core::verdict::ran;
    std::uint32_t attempts = 0;
};

/// An HTTP/1.1 connection with one caller. Used on one strand only.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    /// Outcome of waiting for a request head.
    enum class head_outcome {
        arrived,
        closed,     ///< The caller closed its side, or the connection broke.
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

    /// `protocol` must outlive the connection.
    caller_connection(boost::asio::ip::tcp::socket socket, std::uint32_t head_limit,
                      const caller_protocol& protocol);

    [[nodiscard]] boost::asio::any_io_executor strand() { return m_socket.get_executor(); }

    /// Reads the next request head and stores it for request().
    awaitable<head_outcome> read_head();
    [[nodiscard]] const request_fields& request() const { return m_request; }

    /// Sends 100 Continue to a caller that expects it before it sends its body; false if that fails.
    awaitable<bool> send_continue();

    /// Appends up to `limit` bytes of the body to `into`; false if the body ends early or is malformed.
    awaitable<bool> read_body(std::string& into, std::size_t limit);
    [[nodiscard]] bool is_body_read() const { return m_parser->is_done(); }

    /// Sets the id that every answer to the current request carries.
    void set_request_id(const core::root_id& id) { m_request_id = id; }

    /// How much of an answer to the current request was written.
    enum class answer_state { none, begun, complete };
    [[nodiscard]] answer_state answered() const { return m_answered; }

    /// Writes a complete answer, head and body.
    awaitable<bool> write_answer(transport::response_head head, answer_labels labels);

    /// Writes an answer piece by piece: begin_answer() once, write_piece() repeatedly, end_answer() once.
    awaitable<bool> begin_answer(const transport::response_head& head, answer_labels labels);
    awaitable<bool> write_piece(std::string_view bytes);
    awaitable<bool> end_answer();

    /// Writes a problem document.
    awaitable<bool> write_problem(const problem& trouble, std::uint32_t attempts);

    /// Writes a small JSON document.
    awaitable<bool> write_json(unsigned status, std::string document);

    /// Calls `gone` at most once if the caller closes its side while its answer is pending.
    void watch(std::function<void()> gone);
    void stop_watching() { m_on_closed = nullptr; }

    /// From now on each answer announces that the connection will be closed.
    void close_after_answer() { m_close_after_answer = true; }
    [[nodiscard]] bool can_go_on() const { return m_can_go_on; }

    /// Ends a pending read_head() if `which` says so. Bytes that have arrived count even if nothing has read
    /// them yet, so the outcome of read_head() alone tells whether there is a request.
    void end_wait(wait_end which);

    /// Resets the connection, so that the caller can't take a truncated answer for complete.
    void abort();

    /// Closes the connection without reading on, so that the caller of a request under way can tell that it
    /// was not read; no request may be in progress.
    void close_unread();

    /// Closes the connection once the caller has closed its side, so that it can read the last answer.
    awaitable<void> close();

private:
    using parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using buffer_response = boost::beast::http::response<boost::beast::http::buffer_body>;

    template <class Body>
    void label(boost::beast::http::response<Body>& response, answer_labels labels) const;
    template <class Body>
    void fill_response(boost::beast::http::response<Body>& response, const transport::response_head& head,
                       answer_labels labels);
    awaitable<boost::system::error_code> read_whole_head();
    awaitable<boost::system::error_code> read_more();
    [[nodiscard]] head_outcome outcome_of(const boost::system::error_code& failure) const;
    [[nodiscard]] bool has_begun() const;
    [[nodiscard]] bool has_unread_bytes() const;
    void store_request();
    void note_written(const boost::system::error_code& failure);
    void wait_for_readable();
    void check_caller_closed();

    boost::asio::ip::tcp::socket m_socket;
    core::http_read_buffer m_buffer;
    std::uint32_t m_head_limit;
    const caller_protocol& m_protocol;
    std::optional<parser> m_parser;
    request_fields m_request;
    std::optional<core::root_id> m_request_id; ///< Empty for a head that is no valid request.
    std::optional<buffer_response> m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> m_serializer;
    std::function<void()> m_on_closed;
    answer_state m_answered = answer_state::none;
    wait_end m_wait_end = wait_end::none;
    bool m_watching = false;
    bool m_close_after_answer = false;
    bool m_can_go_on = true;
};

} // namespace monsoonlift::entry::internal
