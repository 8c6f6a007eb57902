#pragma once

#include "entry/attempt_watch.h"
#include "entry/internal/attempt_channel.h"
#include "entry/internal/entry_state.h"
#include "entry/internal/in_flight_mark.h"
#include "entry/internal/request_connection.h"
#include "execution/types/execution_key.h"
#include "quota/held_tokens.h"
#include "transfer/body_receiver.h"
#include "transfer/further_looks.h"
#include "transfer/watchdog.h"

#include <boost/asio/awaitable.hpp>

#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::entry::internal {

/// Serves one call of a caller: makes the attempts, uploads the request body and forwards the answer. Used
/// only on the strand of the connection.
class call_exchange : public std::enable_shared_from_this<call_exchange> {
public:
    call_exchange(entry_state& shared, std::shared_ptr<entry_state> keep_alive,
                  std::shared_ptr<request_connection> connection);

    /// Parses the head and finds the route; nothing is reserved or sent yet. Returns whether the call may run
    /// beside others of its connection: it is idempotent, or refused, and nothing of it is left to read.
    [[nodiscard]] bool prepare();

    /// Serves the call to its end, once it was prepared.
    boost::asio::awaitable<void> run();

    /// Ends the call after an exception has left run(): the gate is told, budgets return, and the caller gets
    /// a problem document, or a reset connection if its answer had begun.
    boost::asio::awaitable<void> break_off(std::exception_ptr failure);

    /// Ends the call's part in the connection and in the number of calls in flight.
    void finish();

private:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    /// How an attempt ended, as seen by the entry.
    struct attempt_outcome {
        bool settled = false; ///< Nothing is left to send: the answer was written or the connection aborted.
        transport::attempt_end end;
        bool from_gate = false; ///< The gate reported the end; otherwise this entry inferred it.
    };

    /// The delay before the next attempt, or the reason why there is none.
    struct retry_choice {
        std::optional<std::chrono::nanoseconds> delay;
        std::string_view why_not;
    };

    /// The endpoint of the next attempt, or the problem to send to the caller.
    using destination = std::variant<core::endpoint_id, problem>;

    [[nodiscard]] std::optional<problem> parse();

    /// Returns why nothing of the call may be sent any more: the process ends before the call, or is about
    /// to.
    [[nodiscard]] std::optional<problem> refuse_by_stop() const;

    /// Begins a call that was parsed, or returns why it is refused.
    [[nodiscard]] std::optional<problem> begin();
    void set_root_id(const core::root_id& root);
    void begin_context(const configuration::document& configuration);
    void return_budget();
    awaitable<void> serve();
    awaitable<bool> read_first_bytes();
    awaitable<void> make_attempts();

    /// Takes a token if the call's account has a limit; answers the call and returns false if it gets none.
    awaitable<bool> take_quota();
    awaitable<quota::token_decision> await_token();

    /// Gives back the token of a call that reached no backend server.
    void return_token();
    [[nodiscard]] std::optional<problem> begin_attempt();
    [[nodiscard]] destination choose_destination();
    [[nodiscard]] destination choose_any();

    /// Returns the problem for a new root call that a service further down its call chain is likely to shed.
    [[nodiscard]] std::optional<problem> refuse_by_chain();

    /// Chooses a gate that this call has not tried; once all were tried, starts over with all of them.
    [[nodiscard]] destination choose_untried();
    [[nodiscard]] destination choose_home(const execution::execution_key& key);
    [[nodiscard]] bool is_bound_to_home() const;
    [[nodiscard]] bool is_permit_request() const;
    awaitable<void> issue_permit();
    void ask_gate(attempt_watch& watch);
    awaitable<bool> wait_for_next(const attempt_outcome& outcome);
    awaitable<bool> wait_for_route(const problem& trouble);
    awaitable<bool> follow_redirect(const attempt_outcome& outcome);
    [[nodiscard]] problem last_problem(const attempt_outcome& outcome) const;
    void send_request();
    awaitable<attempt_outcome> follow_attempt();

    /// Handles an event that this daemon detected itself; returns nothing if the attempt continues.
    awaitable<std::optional<attempt_outcome>> handle_local_event(local_event event);
    awaitable<attempt_outcome> cancel_attempt(transport::end_reason reason);
    awaitable<attempt_outcome> forward_answer(transport::response_head head);
    awaitable<attempt_outcome> forward_complete_answer(transport::response_head head);
    awaitable<attempt_outcome> stream_answer(transport::response_head head);

    /// Calls answer_out_of_time() at that time, unless the attempt has ended by then.
    void watch_answer_until(core::steady_time until);

    /// Gives a streamed answer up at its deadline, unless it is whole; before that, looks several times for
    /// more of it.
    void answer_out_of_time();

    /// Waits for the next event of a streamed answer; nothing if none comes within `silence_limit` and some
    /// further looks.
    awaitable<std::optional<attempt_event>> next_of_answer(std::chrono::milliseconds silence_limit);
    awaitable<bool> pass_chunk(transport::body_chunk chunk, transfer::body_receiver& intake);

    /// Whether a streamed answer can still reach its caller whole after an event that is no part of it.
    [[nodiscard]] bool may_become_whole_after(const attempt_event& event) const;

    /// Ends a streamed answer that isn't whole, so that its caller can't take it for complete: its connection
    /// is reset, or the attempt stays unsettled if the deadline has passed and nothing was written. `last` is
    /// the event after which the answer can't become whole, if there was one.
    [[nodiscard]] attempt_outcome abort_answer(const std::optional<attempt_event>& last);

    /// Returns how the attempt of a streamed answer ended that isn't whole.
    [[nodiscard]] transport::attempt_end end_of_truncated(const std::optional<attempt_event>& last) const;
    [[nodiscard]] attempt_outcome outcome_of(local_event event) const;
    void end_attempt(const attempt_outcome& outcome);
    void close_attempt(const transport::attempt_end& end);
    void break_off_attempt();
    [[nodiscard]] core::verdict verdict_after_failure() const;
    void count_broken(const problem& trouble);
    void count_end(const transport::attempt_end& end);

    /// Records the shedding thresholds that the attempt met: those of a root call for later root calls of its
    /// kind, those of a nested call for the request that made it.
    void note_levels(const transport::attempt_end& end);
    void note_level(const admission::shed_level& met);

    /// Records the median threshold of the called service for the kind of the run that makes the call.
    void note_called(const admission::shed_level& own);

    /// Records the threshold that a gate of the called service reports for the services below it.
    void note_below(const transport::attempt_end& end);

    /// Whether a service further down refuses the call, so that every other gate would refuse it as well.
    [[nodiscard]] bool is_refused_below(const transport::attempt_end& end) const;
    void note_settled(const attempt_outcome& outcome);
    void count_abandoned(core::verdict run);
    [[nodiscard]] retry_choice choose_retry(const attempt_outcome& outcome);

    /// Returns why a call must not be retried after an attempt with this end; empty if it may be.
    [[nodiscard]] std::string_view reason_against_retry(const transport::attempt_end& end);

    /// Returns why the retry budgets or the time left did not allow a retry; counts it if it was a budget.
    [[nodiscard]] std::string_view note_withheld(core::verdict run, bool reached_server, bool is_leaf);
    [[nodiscard]] budgeted_call budgeted() const { return {m_call.service, m_made_by}; }
    [[nodiscard]] event_subject subject() const { return {*m_class, m_call.service, m_call.context.root}; }
    [[nodiscard]] decided_call decided() const;
    [[nodiscard]] ended_attempt ended(const attempt_outcome& outcome) const;
    [[nodiscard]] ended_call ended_now() const;
    awaitable<bool> pause(std::chrono::nanoseconds delay);
    awaitable<void> upload(std::shared_ptr<attempt_channel> channel, core::attempt_id attempt);
    awaitable<void> refuse(const problem& trouble);
    void watch_caller();
    void extend_timeout();
    void send(decltype(transport::frame::payload) payload);
    [[nodiscard]] std::uint32_t attempts_spent() const { return m_attempts + m_nested_attempts; }

    entry_state& m_shared;
    std::shared_ptr<entry_state> m_keep_alive;
    std::shared_ptr<request_connection> m_connection;
    std::optional<in_flight_mark> m_in_flight;
    std::exception_ptr m_preparation_failure;
    std::optional<problem> m_parse_trouble;                         ///< Why the head is refused.
    std::shared_ptr<const configuration::document> m_configuration; ///< In force when the head was parsed.

    parsed_call m_call;
    gate::run_progress m_made_by; ///< The run that made the call, as it was when the call came.
    call_class* m_class;          ///< Never nullptr; the class "unknown" until the request's head is parsed.
    account_count* m_account = nullptr; ///< Counters of a root call's account; nullptr if it has none.
    std::string m_first_bytes; ///< First part of the request body, kept so that the request can be resent.
    bool m_replayable = true;
    bool m_caller_gone = false;
    bool m_is_out_of_time = false;   ///< The deadline has passed before a streamed answer was whole.
    bool m_waits_for_caller = false; ///< A part of a streamed answer is being written, or waits for its turn.
    bool m_is_held_by_caller = false; ///< That was so when a streamed answer was given up at its deadline.
    bool m_has_budget = false;        ///< Retries were taken from a budget, to be returned in the end.
    bool m_is_attempt_open = false;   ///< Frames of the attempt arrive, and routing counts it as in flight.
    bool m_is_counted = false;        ///< The call is part of the totals of calls that ended.
    core::steady_time m_began;
    std::uint64_t m_call_number = 0;
    route_reason m_route_reason = route_reason::load;
    routing::route_evidence m_evidence; ///< Evidence of the last choice of an endpoint.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_nested_attempts = 0;
    std::uint32_t m_spent_retries = 0;
    std::uint32_t m_redirects = 0; ///< Attempts at gates that are not, or don't know, the home of the key.
    std::uint64_t m_homes_version = 0;
    std::uint32_t m_broken_attempts = 0;   ///< Attempts that ended with backend_failed.
    std::uint32_t m_arrivals = 0;          ///< Attempts that may have reached a backend server.
    std::optional<problem> m_earlier;      ///< Problem of the attempts before the last one.
    std::uint32_t m_lost_home_answers = 0; ///< Answers naming a home that membership doesn't know.
    unsigned m_answer_status = 0;          ///< Status of the current attempt's answer; 0 before it begins.
    std::uint32_t m_lent_attempts = 0;     ///< Attempts lent to the gate for nested calls.
    std::chrono::nanoseconds m_waited_for_route{0};
    std::vector<core::endpoint_id> m_tried;
    std::shared_ptr<attempt_channel> m_channel;
    std::shared_ptr<transfer::watchdog> m_answer_watchdog; ///< Set while an answer is streamed.
    transfer::further_looks m_looks{
        transfer::looks_after_deadline}; ///< Looks for more of a streamed answer after its deadline.
    core::attempt_id m_attempt;
    std::optional<quota::taken_token> m_token; ///< Of the account's limit.
    core::steady_time m_attempt_began;
};

} // namespace monsoonlift::entry::internal
