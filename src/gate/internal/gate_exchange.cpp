// The part of gate_call that reads the answer of the backend server and passes it on.
#include "core/http_status.h"
#include "gate/connection_idle_limit.h"
#include "gate/internal/gate_call.h"
#include "transfer/body_room.h"
#include "transfer/folded_line.h"
#include "transfer/http_headers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace monsoonlift::gate::internal {

namespace http = boost::beast::http;
using core::verdict;
using transport::end_reason;

namespace {

constexpr std::uint32_t answer_header_limit = 64 * 1024;
constexpr std::size_t inline_body_bytes = 16 * 1024;

/// Limits on what may precede the answer to a request: interim answers and answers to other requests, and the
/// body bytes of each of the latter.
constexpr unsigned max_heads_before_answer = 16;
constexpr std::size_t max_bytes_before_answer = 256 * 1024;

constexpr auto to_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

std::string_view view_of(const core::http_read_buffer& buffer) {
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// Whether reading failed because of what was received, and not because nothing more was.
bool is_malformed(const boost::system::error_code& failure) {
    const bool is_about_http =
        failure.category() == http::make_error_code(http::error::bad_status).category();
    return is_about_http && failure != http::error::partial_message && failure != http::error::end_of_stream;
}

/// Returns what a complete answer with this status says about the load of the backend server.
concurrency::run_outcome outcome_of(unsigned status) {
    const auto known = http::int_to_status(status);
    if (known == http::status::service_unavailable || known == http::status::too_many_requests) {
        return concurrency::run_outcome::refused;
    }
    return core::is_server_error(status) ? concurrency::run_outcome::failed
                                         : concurrency::run_outcome::finished;
}

} // namespace

boost::asio::awaitable<bool> gate_call::send_and_read_head() {
    if (m_head.total) {
        co_await write_complete_request();
    } else {
        boost::asio::co_spawn(
            m_strand, [self = shared_from_this()] { return self->upload(); },
            [self = shared_from_this()](const std::exception_ptr& failure) {
                if (failure) {
                    self->note_upload_failure(failure);
                }
            });
    }
    m_reads_answer = true;
    co_return co_await read_head();
}

bool gate_call::was_lost_on_idle_connection() const {
    return m_was_idle_long && !m_has_received && !m_stopped && is_resendable(m_head);
}

boost::asio::awaitable<void> gate_call::exchange() {
    bool answered = co_await send_and_read_head();
    if (!answered && was_lost_on_idle_connection()) {
        m_reads_answer = false;
        m_was_lost = true;
        const bool ready = co_await make_connection();
        if (!ready) {
            co_return;
        }
        answered = co_await send_and_read_head();
    }
    if (!answered) {
        fail(verdict::may_have_run, end_reason::backend_failed,
             m_is_malformed ? "the backend server's answer is malformed"
                            : "the backend server closed the connection before it had answered");
        co_return;
    }
    m_time_to_answer = m_env.clock.now() - m_sent_at;
    if (was_refused_by_backend()) {
        m_report.outcome = concurrency::run_outcome::refused;
        m_report.service_time = m_time_to_answer;
        fail(m_was_lost ? verdict::may_have_run : verdict::not_run, end_reason::backend_refused,
             m_was_lost ? "the backend server refused the request, which was lost on an earlier connection"
                        : "the backend server refused the request");
        co_return;
    }
    if (!has_known_end()) {
        fail(verdict::ran, end_reason::backend_failed,
             "the backend server's answer has neither a length nor chunks, so its end can't be checked");
        co_return;
    }
    co_await relay_answer();
}

boost::asio::awaitable<bool> gate_call::read_head() {
    for (unsigned heads = 0; heads < max_heads_before_answer; ++heads) {
        m_parser.emplace();
        m_parser->header_limit(answer_header_limit);
        m_parser->body_limit(boost::none);
        m_parser->skip(m_head.method == "HEAD");
        const auto failure = co_await read_whole_head();
        if (failure) {
            m_is_malformed = is_malformed(failure);
            co_return false;
        }
        if (core::is_interim(*m_parser)) {
            continue;
        }
        m_is_malformed = !core::is_final_status(m_parser->get().result_int());
        if (m_is_malformed) {
            co_return false;
        }
        if (answers_this_request()) {
            co_return true;
        }
        const bool was_discarded = has_echoed_id() && co_await discard_answer();
        if (!was_discarded) {
            co_return false;
        }
    }
    co_return false;
}

boost::asio::awaitable<boost::system::error_code> gate_call::read_whole_head() {
    auto& buffer = m_connection->buffer;
    while (true) {
        // NOTE: the parser leaves a line in the buffer until the first byte of the next one has arrived.
        if (transfer::has_folded_line(view_of(buffer))) {
            co_return http::error::bad_field;
        }
        boost::system::error_code failure = http::error::need_more;
        if (buffer.size() > 0) {
            buffer.consume(m_parser->put(buffer.data(), failure));
        }
        if (m_parser->is_header_done() || failure != http::error::need_more) {
            co_return failure;
        }
        const auto room = boost::beast::read_size(buffer, buffer.max_size());
        if (room == 0) {
            co_return http::error::buffer_overflow;
        }
        std::size_t got = 0;
        do {
            std::tie(failure, got) =
                co_await m_connection->socket.async_read_some(buffer.prepare(room), to_tuple);
        } while (reads_on(failure));
        if (failure) {
            co_return failure;
        }
        buffer.commit(got);
        m_has_received = true;
    }
}

bool gate_call::has_echoed_id() const {
    const auto name = m_env.options.protocol.echoed_id_header;
    const auto& answer = m_parser->get();
    return !name.empty() && answer.find({name.data(), name.size()}) != answer.end();
}

bool gate_call::answers_this_request() const {
    const auto name = m_env.options.protocol.echoed_id_header;
    if (name.empty() || m_request_name.empty()) {
        return true;
    }
    // NOTE: the first answer on a connection can only belong to its first request.
    const auto echoed = m_parser->get().find({name.data(), name.size()});
    return has_echoed_id() ? view(echoed->value()) == m_request_name : !m_connection->has_answered;
}

boost::asio::awaitable<bool> gate_call::discard_answer() {
    m_env.events.mismatched_answer(m_attempt);
    // NOTE: without a length or chunks, the answer ends with the connection, and no other answer can follow.
    if (!m_parser->is_done() && !m_parser->chunked() && !m_parser->content_length()) {
        co_return false;
    }
    std::string discarded;
    std::size_t bytes = 0;
    while (!m_parser->is_done()) {
        const bool read = co_await read_body(discarded, inline_body_bytes, false);
        bytes += discarded.size();
        if (!read || bytes > max_bytes_before_answer) {
            co_return false;
        }
    }
    m_connection->has_answered = true;
    co_return true;
}

bool gate_call::has_known_end() const {
    return m_parser->is_done() || m_parser->chunked() || m_parser->content_length() ||
           m_env.options.protocol.answers_may_end_with_connection;
}

bool gate_call::was_refused_by_backend() const {
    const auto& answer = m_parser->get();
    return m_env.options.protocol.is_refusal(answer.result_int(), answer);
}

transport::response_head gate_call::make_response_head() const {
    transport::response_head head;
    const auto& message = m_parser->get();
    head.status = message.result_int();
    head.reason = message.reason();
    for (const auto& field : message) {
        const auto name = view(field.name_string());
        if (!transfer::is_hop_by_hop(name) && !transfer::is_own(name)) {
            head.headers.push_back({std::string(name), std::string(view(field.value()))});
        }
    }
    return head;
}

boost::asio::awaitable<void> gate_call::relay_answer() {
    auto head = make_response_head();
    m_end.run = verdict::ran;
    m_end.reason = end_reason::answered;
    const auto length = m_parser->content_length();
    const bool is_small = length && *length <= inline_body_bytes;
    const bool read = co_await read_body(head.body, inline_body_bytes, is_small);
    if (!read) {
        fail(verdict::ran, end_reason::backend_failed, "the backend server cut its answer short");
        co_return;
    }
    if (m_parser->is_done()) {
        note_whole_answer();
        head.total = transfer::total_of(head.body);
        head.end = complete_end();
        keep_answer(head);
        send(std::move(head));
        m_answered = true;
        co_return;
    }
    m_answer_digest.add(head.body);
    send(std::move(head));
    co_await stream_answer();
}

void gate_call::note_whole_answer() {
    m_report.outcome = outcome_of(m_parser->get().result_int());
    m_report.service_time = m_time_to_answer;
}

boost::asio::awaitable<void> gate_call::stream_answer() {
    m_streams_answer = true;
    while (!m_parser->is_done()) {
        const bool allowed = co_await take_credit(m_env.clock.now() + m_env.options.stall_patience);
        if (!allowed) {
            fail(verdict::ran, end_reason::cancelled, "the caller took no more of the answer");
            co_return;
        }
        transport::body_chunk chunk{m_answer_digest.length(), {}};
        const bool read = co_await read_body(chunk.data, m_env.options.body_chunk_bytes, true);
        if (!read) {
            fail(verdict::ran, end_reason::backend_failed, "the backend server cut its answer short");
            co_return;
        }
        if (!chunk.data.empty()) {
            m_answer_digest.add(chunk.data);
            send(std::move(chunk));
        }
    }
    note_whole_answer();
    send(transport::body_end{m_answer_digest.total(), complete_end()});
    m_answered = true;
}

boost::asio::awaitable<bool> gate_call::take_credit(core::steady_time until) {
    bool allowed = co_await m_credit.take(until);
    transfer::further_looks looks(transfer::looks_after_silence);
    while (!allowed && !m_stopped && looks.take()) {
        allowed = co_await m_credit.take(m_env.clock.now() + looks.interval());
    }
    co_return allowed;
}

boost::asio::awaitable<bool> gate_call::read_body(std::string& into, std::size_t limit, bool fill) {
    if (m_parser->is_done()) {
        co_return true;
    }
    const auto room = transfer::room_for(m_parser->content_length_remaining(), limit);
    into.resize(room);
    auto& body = m_parser->get().body();
    body.data = into.data();
    body.size = room;
    boost::system::error_code failure;
    auto& socket = m_connection->socket;
    auto& buffer = m_connection->buffer;
    do {
        if (fill) {
            std::tie(failure, std::ignore) = co_await http::async_read(socket, buffer, *m_parser, to_tuple);
        } else {
            std::tie(failure, std::ignore) =
                co_await http::async_read_some(socket, buffer, *m_parser, to_tuple);
        }
    } while (reads_on(failure));
    into.resize(room - body.size);
    const bool is_read = !failure || failure == http::error::need_buffer;
    if (is_read && m_parser->is_done() && m_parser->need_eof()) {
        co_return co_await confirm_end();
    }
    co_return is_read;
}

boost::asio::awaitable<bool> gate_call::confirm_end() {
    boost::system::error_code ignored;
    while (m_connection->is_writing) {
        m_connection->socket.cancel(ignored);
        co_await boost::asio::post(m_strand, boost::asio::use_awaitable);
    }
    co_return has_ended_in_order(*m_connection);
}

} // namespace monsoonlift::gate::internal
