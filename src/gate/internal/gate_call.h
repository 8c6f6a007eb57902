#pragma once

#include "gate/gate_service.h"
#include "gate/internal/attempt_decisions.h"
#include "gate/internal/backend_pool.h"
#include "gate/internal/gate_class.h"
#include "gate/internal/gate_events.h"
#include "transfer/async_queue.h"
#include "transfer/body_digest.h"
#include "transfer/body_receiver.h"
#include "transfer/credit_gate.h"
#include "transfer/watchdog.h"

#include <boost/asio/strand.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::gate::internal {

/// What every call of a gate uses.
struct gate_environment {
    const gate_options& options;
    transport::frame_sender& sender;
    execution::execution_ledger& ledger;
    execution::crash_guard& crashes;
    nested_budgets& budgets;
    const core::clock& clock;
    logging::event_log& log;
    gate_classes& classes;
    gate_events& events;
    attempt_decisions& decisions;
    gate_table& table;
    backend_pool& pool;
    boost::asio::any_io_executor executor;
};

/// How a run ended, for the limit and the totals.
struct run_report {
    concurrency::run_outcome outcome = concurrency::run_outcome::failed;
    std::chrono::nanoseconds service_time{0};
    bool answered = false;
    bool broken = false; ///< The backend server closed the connection without a whole answer.
};

/// One attempt at this gate, from its request to the last byte of its answer. Keeps itself alive while it
/// runs; everything but the constructor and the public functions happens on its strand.
class gate_call : public std::enable_shared_from_this<gate_call> {
public:
    using ended_handler = std::function<void(const run_report&)>;

    gate_call(const gate_environment& environment, std::uint64_t run, const core::incarnation& entry,
              const core::attempt_id& attempt, transport::request_head head);

    [[nodiscard]] const transport::request_head& head() const { return m_head; }
    [[nodiscard]] const core::attempt_id& attempt() const { return m_attempt; }

    /// Asks whether the request is under suspicion of crashing backend servers; if it is, answers and gives
    /// false.
    [[nodiscard]] bool admit_by_crashes();

    /// Begins the record of a non-idempotent request; if it may not run, answers and gives false.
    [[nodiscard]] bool begin_execution();

    /// Runs the request; a slot has been taken. `ended` is called once, on the strand.
    void start(ended_handler ended);

    /// Answers that the request did not run and never will.
    void refuse(transport::end_reason reason);

    /// A frame that belongs to this attempt.
    void received(decltype(transport::frame::payload) payload);

    /// Gives the run up; its connection to the backend server is closed.
    void stop(transport::end_reason reason);

private:
    using body_item = std::variant<transport::body_chunk, transport::body_end>;
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    template <class T> using awaitable = boost::asio::awaitable<T>;

    awaitable<void> run();
    awaitable<bool> open_connection();
    awaitable<bool> make_connection();

    /// What is true of a request that goes no further now.
    [[nodiscard]] core::verdict verdict_so_far() const;
    [[nodiscard]] bool may_still_begin();
    [[nodiscard]] std::optional<execution::begin_request> execution_request() const;
    void refuse_by_record(const execution::begin_decision& decision);
    void replay(const execution::stored_answer& answer);
    void keep_answer(const transport::response_head& answer);
    void end_execution();
    awaitable<void> exchange();

    /// Sends the request and reads the head of its answer; false if there is none.
    awaitable<bool> ask();

    /// Whether the backend server had most likely forgotten the connection before the request came.
    [[nodiscard]] bool was_lost_with_rested_connection() const;
    awaitable<void> write_whole_request();
    awaitable<void> upload();
    awaitable<bool> upload_item(body_item item, transfer::body_receiver& intake);
    awaitable<bool> upload_bytes(std::string_view bytes, bool more);
    [[nodiscard]] bool completes_stated_length(std::uint64_t length) const;
    awaitable<bool> read_head();
    awaitable<void> relay_answer();
    awaitable<void> stream_answer();
    awaitable<bool> read_body(std::string& into, std::size_t limit, bool fill);
    [[nodiscard]] bool has_known_end() const;

    /// Whether the answer whose head was read is that of this request, and not a late one of another.
    [[nodiscard]] bool answers_this_request() const;

    /// Whether the answer whose head was read says to which request it belongs.
    [[nodiscard]] bool is_named() const;

    /// Reads an answer of another request to its end; false if that can't be found.
    awaitable<bool> pass_over_answer();
    [[nodiscard]] bool was_refused_by_backend() const;
    [[nodiscard]] transport::response_head make_response_head() const;
    [[nodiscard]] context_token make_token() const;

    void note_running();
    void note_not_running();
    template <class Body> void fill_request(boost::beast::http::request<Body>& request) const;
    void on_payload(decltype(transport::frame::payload) payload);
    void stop_now(transport::end_reason reason);
    void fail(core::verdict run, transport::end_reason reason, std::string detail);
    [[nodiscard]] transport::attempt_end complete_end();
    void note_end();
    [[nodiscard]] decided_attempt decided() const;
    [[nodiscard]] std::chrono::nanoseconds waited() const { return m_env.clock.now() - m_arrived; }
    void finish();
    void give_connection_back();
    void send(decltype(transport::frame::payload) payload);

    gate_environment m_env;
    std::uint64_t m_run;
    core::endpoint_id m_entry;
    core::attempt_id m_attempt;
    transport::request_head m_head;
    const std::string m_name; ///< The caller's name for the request; empty if the protocol has none.
    const gate_class& m_class;
    const core::steady_time m_arrived;
    boost::asio::any_io_executor m_strand;
    ended_handler m_ended;

    std::shared_ptr<transfer::watchdog> m_watchdog;
    transfer::async_queue<body_item> m_inbox;
    transfer::credit_gate m_credit;
    backend_server m_backend; ///< As it was when the run began.
    backend_pool::connection m_connection;
    std::optional<parser> m_parser;
    transfer::body_digest m_answer_digest;
    std::optional<boost::beast::http::request<boost::beast::http::buffer_body>> m_upload_request;
    std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>> m_upload;

    std::string m_last_bytes; ///< Of a body of stated length; held until the body is known to be sound.

    execution::request_fingerprint m_fingerprint;
    std::string m_key;              ///< Of the record of a non-idempotent request.
    bool m_admitted = false;        ///< The crash guard counts the request.
    bool m_execution_begun = false; ///< A record is open.
    bool m_is_rested = false;       ///< The connection had been idle for longer than sure_rest.
    bool m_sent = false;            ///< From now on the request may have run.
    bool m_uploaded = false;        ///< The backend server got the whole request.
    bool m_answered = false;        ///< The whole answer is on its way to the entry.
    bool m_finished = false;
    std::optional<transport::end_reason> m_stopped;
    core::steady_time m_sent_at;
    run_report m_report;
    transport::attempt_end m_end;
};

} // namespace monsoonlift::gate::internal
