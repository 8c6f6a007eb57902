#pragma once

#include "gate/gate_service.h"
#include "gate/internal/attempt_decisions.h"
#include "gate/internal/backend_pool.h"
#include "gate/internal/gate_class.h"
#include "gate/internal/gate_events.h"
#include "logging/contained_step.h"
#include "transfer/async_queue.h"
#include "transfer/body_digest.h"
#include "transfer/body_receiver.h"
#include "transfer/credit_gate.h"
#include "transfer/further_looks.h"
#include "transfer/watchdog.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace monsoonlift::gate::internal {

/// Objects shared by all calls of a gate.
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
    boost::asio::io_context::executor_type executor;
};

/// Result of a run, for the concurrency limit and the totals.
struct run_report {
    concurrency::run_outcome outcome = concurrency::run_outcome::failed;
    std::chrono::nanoseconds service_time{0};
    bool answered = false;
    bool broken = false; ///< The backend server broke off a sending, and no other was answered completely.
};

/// One attempt at this gate, from its request to the last byte of its answer. Keeps itself alive while it
/// runs; everything except the constructor and the public functions runs on its strand.
class gate_call : public std::enable_shared_from_this<gate_call> {
public:
    using ended_handler = std::function<void(const run_report&)>;

    gate_call(const gate_environment& environment, std::uint64_t run, const core::incarnation& entry,
              const core::attempt_id& attempt, transport::request_head head);

    [[nodiscard]] const transport::request_head& head() const { return m_head; }
    [[nodiscard]] const core::attempt_id& attempt() const { return m_attempt; }
    [[nodiscard]] std::uint64_t run_number() const { return m_run; }

    /// Checks whether the request is suspected of crashing backend servers; if so, sends a refusal and
    /// returns false.
    [[nodiscard]] bool check_crash_guard();

    /// Whether the services that runs of this kind lead to are likely to admit the nested calls of the
    /// request.
    [[nodiscard]] bool is_admitted_below() const;

    /// Opens the record of a non-idempotent request; false if the request may not run. It is then refused or
    /// answered from the record, or dropped if it copies an attempt that is being served.
    [[nodiscard]] bool begin_execution();

    /// Runs the request, for which the caller has acquired a slot. `ended` is called once, on the strand,
    /// also if an internal error ends the run.
    void start(ended_handler ended);

    /// Ends the attempt with the verdict that the request did not run and never will, or may have run if an
    /// internal error leaves that open. Throws nothing.
    void refuse(transport::end_reason reason);

    /// Ends an attempt that an internal error broke off before it started or waited. Throws nothing.
    void break_off_arrival();

    /// Handles the payload of a frame of this attempt.
    void received(decltype(transport::frame::payload) payload);

    /// Aborts the run and closes its connection to the backend server.
    void stop(transport::end_reason reason);

    /// Aborts the run because of an internal error.
    void break_off();

private:
    using body_item = std::variant<transport::body_chunk, transport::body_end>;
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    template <class T> using awaitable = boost::asio::awaitable<T>;

    awaitable<void> run();
    awaitable<bool> open_connection();
    awaitable<bool> make_connection();

    /// Verdict if the request fails now, before an answer: may_have_run once it was sent, otherwise not_run.
    [[nodiscard]] core::verdict verdict_so_far() const;
    [[nodiscard]] bool may_still_begin();
    [[nodiscard]] std::optional<execution::begin_request> execution_request() const;
    void refuse_by_record(const execution::begin_decision& decision);
    void replay(const execution::stored_answer& answer);
    void keep_answer(const transport::response_head& answer);
    void end_execution();
    void end_admission();
    void end_record();
    awaitable<void> exchange();

    /// Sends the request and reads the head of its answer; false if none was received.
    awaitable<bool> send_and_read_head();

    /// Whether the backend server most likely dropped the idle connection before it received the request, and
    /// the request can be resent.
    [[nodiscard]] bool was_lost_on_idle_connection() const;
    awaitable<void> write_complete_request();

    /// Writes a message, or what its serializer has; false if that fails.
    template <class Message> awaitable<bool> write(Message& message);

    /// Whether an answer that ends with its connection is whole. Ends a write of the request that is in
    /// progress, whose result decides.
    awaitable<bool> confirm_end();
    awaitable<void> upload();
    awaitable<bool> upload_item(body_item item, transfer::body_receiver& receiver);
    awaitable<bool> upload_bytes(std::string_view bytes, bool more);
    [[nodiscard]] bool completes_stated_length(std::uint64_t length) const;
    awaitable<bool> read_head();

    /// Reads one head into the parser; bad_field if a line of it is folded. A field that the gate reads could
    /// otherwise get a value that the backend server never meant.
    awaitable<boost::system::error_code> read_whole_head();
    awaitable<void> relay_answer();
    awaitable<void> stream_answer();

    /// Lets the run count for the concurrency limit. Only a run with a complete answer is a sample of a
    /// service time, and maybe a success.
    void note_whole_answer();

    /// Waits for the credit for one chunk of a streamed answer; false if it does not come.
    awaitable<bool> take_credit(core::steady_time until);
    awaitable<bool> read_body(std::string& into, std::size_t limit, bool fill);
    [[nodiscard]] bool has_known_end() const;

    /// Whether the answer whose head was read belongs to this request and is not a late one to another.
    [[nodiscard]] bool answers_this_request() const;

    /// Whether the answer whose head was read has the field `echoed_id_header`.
    [[nodiscard]] bool has_echoed_id() const;

    /// Reads and discards the rest of an answer to another request; false if its end can't be determined, it
    /// is too long or reading fails.
    awaitable<bool> discard_answer();
    [[nodiscard]] bool was_refused_by_backend() const;
    [[nodiscard]] transport::response_head make_response_head() const;
    [[nodiscard]] context_token make_token() const;
    [[nodiscard]] admission::shed_level level_below() const;

    void register_running();
    void unregister_running();
    template <class Body> void fill_request(boost::beast::http::request<Body>& request) const;
    void on_payload(decltype(transport::frame::payload) payload);
    void stop_now(transport::end_reason reason);
    void watch_until(core::steady_time until);

    /// Stops the run at its deadline, unless its answer has begun to arrive; then after further looks.
    void out_of_time();

    /// Stops a run that its entry no longer waits for. At the deadline, an answer of which nothing was passed
    /// on is still read if it has arrived.
    void cancel();

    /// Returns the text for the reason why the run was stopped.
    [[nodiscard]] std::string describe_stop() const;

    /// Whether a read of the answer that failed is to be repeated: it was ended by out_of_time(), and there
    /// is an answer to read. Stops the run if there is none.
    [[nodiscard]] bool reads_on(const boost::system::error_code& failure);
    void fail(core::verdict run, transport::end_reason reason, std::string detail);
    transport::attempt_end complete_end();

    /// Whether the backend server broke off any sending of the request, and answered none. It may have
    /// crashed because of the request, whatever became of the last sending.
    [[nodiscard]] bool was_broken_off() const;
    void note_refusal(transport::attempt_end& end);
    void note_end();
    void note_failure(const std::exception_ptr& failure);
    void note_upload_failure(const std::exception_ptr& failure);
    void break_off_now();

    /// Sends the end of the attempt to its entry; after an internal error, without its details.
    void tell(const transport::attempt_end& end);

    /// Runs a step that must not keep later ones from being run; false if an internal error ended it.
    template <class Step> bool try_step(std::string_view work, Step&& step) const {
        return logging::contain(m_env.log, {work, m_attempt, m_head.context.root}, std::forward<Step>(step));
    }
    [[nodiscard]] decided_attempt decided() const;
    [[nodiscard]] std::chrono::nanoseconds waited() const { return m_env.clock.now() - m_arrived; }
    void finish();
    void close_inputs();
    void give_connection_back();
    void send(decltype(transport::frame::payload) payload);

    gate_environment m_env;
    std::uint64_t m_run;
    core::endpoint_id m_entry;
    core::attempt_id m_attempt;
    transport::request_head m_head;
    const std::string m_request_name; ///< Value of the request's `echoed_id_header`; empty if there is none.
    const gate_class& m_class;
    const core::steady_time m_arrived;
    const boost::asio::any_io_executor m_strand; ///< A strand of the context itself: a type-erased one would
                                                 ///< be allocated anew with each copy.
    ended_handler m_ended;

    std::shared_ptr<transfer::watchdog> m_watchdog;
    transfer::async_queue<body_item> m_inbox;
    transfer::credit_gate m_credit;
    backend_server m_backend; ///< Backend server that was known when the run began.
    backend_pool::connection m_connection;
    std::optional<parser> m_parser;
    transfer::body_digest m_answer_digest;
    std::optional<boost::beast::http::request<boost::beast::http::buffer_body>> m_upload_request;
    std::optional<boost::beast::http::request_serializer<boost::beast::http::buffer_body>> m_upload;

    std::string m_last_bytes; ///< Final chunk of a body with Content-Length; held until the digest matches.

    execution::request_fingerprint m_fingerprint;
    std::string m_key;              ///< Key of the record of a non-idempotent request.
    bool m_admitted = false;        ///< The crash guard admitted the request and awaits its end.
    bool m_execution_begun = false; ///< The record of a non-idempotent request is open.
    bool m_was_idle_long = false;   ///< The connection had been idle for longer than safe_idle_time.
    bool m_sent = false;            ///< Sending has begun, so the request may have run.
    bool m_was_lost = false;        ///< An earlier sending was lost on an idle connection.
    bool m_uploaded = false;        ///< The complete request was written to the connection.
    bool m_reads_answer = false;    ///< The answer is awaited or being read.
    bool m_streams_answer = false; ///< A part of the answer was passed on, so that only its whole rest helps.
    bool m_has_received = false;   ///< Bytes have come from the backend server.
    bool m_is_malformed = false;   ///< What was received in place of an answer's head is none.
    bool m_is_given_up = false;    ///< At the deadline, the entry ceased to wait: one look suffices.
    bool m_is_late = false;        ///< The time limit has passed, and what has arrived is being read.
    bool m_answered = false;       ///< The complete answer was read and is being sent to the entry.
    bool m_finished = false;
    bool m_told = false;   ///< The entry was sent the last frame of the attempt.
    bool m_failed = false; ///< An internal error broke the run off.
    std::optional<transport::end_reason> m_stopped;
    transfer::further_looks m_looks{
        transfer::looks_after_deadline}; ///< Looks for more of the answer after the deadline.
    core::steady_time m_sent_at;
    std::chrono::nanoseconds m_time_to_answer{0}; ///< From sending to the head of the answer.
    run_report m_report;
    transport::attempt_end m_end;
};

} // namespace monsoonlift::gate::internal
