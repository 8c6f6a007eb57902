#pragma once

#include "entry/caller_protocol.h"
#include "entry/internal/caller_connection.h"
#include "entry/request_parsing.h"
#include "entry/types/problem.h"
#include "transport/types/frame.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::entry::internal {

/// Values of the Monsoonlift-* fields that label an answer.
struct answer_labels {
    core::verdict run = core::verdict::ran;
    std::uint32_t attempts = 0;
};

/// A caller's connection as one of its requests sees it: the head and body of the request, and its answer,
/// which is written once the answers to all earlier requests are complete. Used on the strand of the
/// connection only.
class request_connection : public std::enable_shared_from_this<request_connection> {
public:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    /// The request takes its place behind all open requests of the connection.
    request_connection(std::shared_ptr<caller_connection> connection, request_head head);
    request_connection(const request_connection&) = delete;
    request_connection& operator=(const request_connection&) = delete;
    ~request_connection();

    [[nodiscard]] boost::asio::any_io_executor strand() { return m_connection->strand(); }
    [[nodiscard]] const request_fields& request() const { return m_head.fields; }

    /// When the whole head of the request could have been read.
    [[nodiscard]] core::steady_time arrived() const { return m_head.arrived; }

    /// Sends 100 Continue to a caller that expects it before it sends its body; false if that fails.
    awaitable<bool> send_continue();

    /// Appends up to `limit` bytes of the body to `into`; false if the body ends early or is malformed.
    awaitable<bool> read_body(std::string& into, std::size_t limit);
    [[nodiscard]] bool has_body() const { return m_head.has_body; }
    [[nodiscard]] bool is_body_read() const { return !m_head.has_body || m_connection->is_body_read(); }

    /// Sets the id that every answer to the request carries.
    void set_request_id(const core::root_id& id) { m_request_id = id; }

    /// How much of an answer to the request was written.
    enum class answer_state { none, begun, complete };
    [[nodiscard]] answer_state answered() const { return m_answered; }

    /// Writes a complete answer, head and body.
    awaitable<bool> write_answer(transport::response_head head, answer_labels labels);

    /// Writes an answer piece by piece: begin_answer() once, write_piece() repeatedly, end_answer() once. The
    /// head is written with the first bytes of the body, or with its end.
    awaitable<bool> begin_answer(const transport::response_head& head, answer_labels labels);
    awaitable<bool> write_piece(std::string_view bytes);
    awaitable<bool> end_answer();

    /// Writes a problem document.
    awaitable<bool> write_problem(const problem& trouble, std::uint32_t attempts);

    /// Writes a small JSON document.
    awaitable<bool> write_json(unsigned status, std::string document);

    /// Calls `gone` at most once if the caller closes its side while its answer is pending, or if an earlier
    /// answer closes the connection; at once if that has happened.
    void watch(std::function<void()> gone);
    void stop_watching() { m_on_gone = nullptr; }

    /// Whether the caller has gone, or an earlier answer closes the connection.
    [[nodiscard]] bool is_gone() const { return m_is_caller_gone || m_is_dropped; }

    /// Lets the connection be at work for this request until then.
    void allow_until(core::steady_time until) { m_connection->allow_until(until); }

    /// Resets the connection, so that the caller can't take a truncated answer for complete. A request behind
    /// a closing answer has no answer, so nothing is done for it.
    void abort();

    /// Ends an answer that can't become whole: as abort() does if a part of it was written. Otherwise
    /// begin_answer() ends its wait for the turn of the answer, and another may be written in its place.
    void give_up_answer();

    /// Ends the request's part in the connection; the next answer may be written.
    void finish();

    /// Tells the request that the caller has gone; an answer that has arrived is still written.
    void caller_left();

    /// Cancels the request: it must not be answered any more.
    void drop();

    /// Lets a waiting answer look whether its turn has come.
    void wake();

private:
    using buffer_response = boost::beast::http::response<boost::beast::http::buffer_body>;

    /// Waits until the answers to all earlier requests are complete, while `held_bytes` of this answer are
    /// kept; false if the request must not be answered, or this answer was given up.
    awaitable<bool> wait_for_turn(std::size_t held_bytes);
    template <class Body>
    void label(boost::beast::http::response<Body>& response, answer_labels labels) const;
    template <class Body>
    void fill_response(boost::beast::http::response<Body>& response, const transport::response_head& head,
                       answer_labels labels);
    void note_written(const boost::system::error_code& failure);

    std::shared_ptr<caller_connection> m_connection;
    request_head m_head;
    std::optional<core::root_id> m_request_id; ///< Empty for a head that is no valid request.
    std::optional<buffer_response> m_response;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> m_serializer;
    std::optional<boost::asio::steady_timer> m_turn; ///< Set while the answer waits for its turn.
    std::function<void()> m_on_gone;
    answer_state m_answered = answer_state::none;
    bool m_is_caller_gone = false;
    bool m_is_dropped = false;
    bool m_gives_up_answer = false; ///< The answer that waits for its turn is not to be written.
    bool m_is_finished = false;
};

} // namespace monsoonlift::entry::internal
