#pragma once

#include "entry/internal/attempt_channel.h"
#include "entry/internal/caller_connection.h"
#include "entry/internal/entry_state.h"
#include "execution/types/execution_key.h"
#include "transfer/body_receiver.h"
#include "transfer/watchdog.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::entry::internal {

/// One call of a caller: its attempts, its body on the way out and its answer on the way back. Used on the
/// strand of the connection.
class call_exchange : public std::enable_shared_from_this<call_exchange> {
public:
    call_exchange(entry_state& shared, std::shared_ptr<entry_state> keep_alive,
                  std::shared_ptr<caller_connection> connection,
                  std::shared_ptr<transfer::watchdog> watchdog);

    /// Serves the call to its end; afterwards the connection knows whether it can go on.
    boost::asio::awaitable<void> run();

private:
    template <class T> using awaitable = boost::asio::awaitable<T>;

    /// How an attempt ended, from the entry's side.
    struct attempt_outcome {
        bool settled = false; ///< The caller has its answer, or its connection was aborted.
        transport::attempt_end end;
        bool from_gate = false; ///< The gate said so; otherwise it is this entry's own view.
    };

    /// When the call is attempted again, or why it isn't.
    struct retry_choice {
        std::optional<std::chrono::nanoseconds> delay;
        std::string_view why_not;
    };

    /// Where an attempt goes, or what the caller is told.
    using destination = std::variant<core::endpoint_id, problem>;

    [[nodiscard]] std::optional<problem> parse();
    void name_call(const core::root_id& root);
    void begin_context(const configuration::document& configuration);
    void give_budget_back();
    awaitable<void> serve();
    awaitable<bool> read_first_bytes();
    awaitable<void> make_attempts();
    [[nodiscard]] std::optional<problem> begin_attempt();
    [[nodiscard]] destination choose_destination();
    [[nodiscard]] destination choose_any();

    /// What a root call is told that would be refused further down its chain.
    [[nodiscard]] std::optional<problem> refuse_by_chain();

    /// Any gate that this call has not asked yet; once all were asked, any again.
    [[nodiscard]] destination choose_untried();
    [[nodiscard]] destination choose_home(const execution::execution_key& key);
    [[nodiscard]] bool is_bound_to_home() const;
    [[nodiscard]] bool asks_for_permit() const;
    awaitable<void> give_permit();
    awaitable<bool> wait_for_next(const attempt_outcome& outcome);
    awaitable<bool> wait_for_route(const problem& trouble);
    awaitable<bool> look_for_home(const attempt_outcome& outcome);
    [[nodiscard]] problem last_problem(const attempt_outcome& outcome) const;
    void send_request();
    awaitable<attempt_outcome> follow_attempt();

    /// What follows from something that this daemon noticed itself; nothing if the attempt goes on.
    awaitable<std::optional<attempt_outcome>> take_local(local_event event);
    awaitable<attempt_outcome> give_up(transport::end_reason reason);
    awaitable<attempt_outcome> take_answer(transport::response_head head);
    awaitable<attempt_outcome> take_whole_answer(transport::response_head head);
    awaitable<attempt_outcome> stream_answer(transport::response_head head);
    awaitable<bool> pass_chunk(transport::body_chunk chunk, transfer::body_receiver& intake);
    [[nodiscard]] attempt_outcome broken_off(std::string_view why);
    [[nodiscard]] attempt_outcome outcome_of(local_event event) const;
    void end_attempt(const attempt_outcome& outcome);
    void count_end(const transport::attempt_end& end);
    /// Keeps the thresholds that the attempt met, for the root call or, of a root call, for later ones.
    void note_levels(const transport::attempt_end& end);
    void note_level(const admission::shed_level& met);
    void note_settled(const attempt_outcome& outcome);
    void count_abandoned(core::verdict run);
    [[nodiscard]] retry_choice choose_retry(const attempt_outcome& outcome);

    /// Why an attempt that ended so must not be followed by another; empty if nothing speaks against it.
    [[nodiscard]] std::string_view reason_against_retry(transport::end_reason reason);

    /// Counts a retry that a budget did not allow; gives the reason.
    [[nodiscard]] std::string_view note_withheld(core::verdict run, bool reached_server);
    [[nodiscard]] event_subject subject() const { return {*m_class, m_call.service, m_call.context.root}; }
    [[nodiscard]] decided_call decided() const;
    [[nodiscard]] ended_attempt ended(const attempt_outcome& outcome) const;
    [[nodiscard]] ended_call ended_now() const;
    awaitable<bool> pause(std::chrono::nanoseconds delay);
    awaitable<void> upload(std::shared_ptr<attempt_channel> channel, core::attempt_id attempt);
    awaitable<void> refuse(const problem& trouble);
    void watch_caller();
    void extend_patience();
    void send(decltype(transport::frame::payload) payload);
    [[nodiscard]] std::uint32_t attempts_spent() const { return m_attempts + m_nested_attempts; }

    entry_state& m_shared;
    std::shared_ptr<entry_state> m_keep_alive;
    std::shared_ptr<caller_connection> m_connection;
    std::shared_ptr<transfer::watchdog> m_watchdog;

    parsed_call m_call;
    call_class* m_class;       ///< Never nullptr; unknown until the request's head is parsed.
    std::string m_first_bytes; ///< Kept, so that the request can be sent again.
    bool m_replayable = true;
    bool m_caller_gone = false;
    core::steady_time m_began;
    std::uint64_t m_call_number = 0;
    route_reason m_route_reason = route_reason::load;
    routing::route_evidence m_evidence; ///< Of the last choice of an endpoint.
    std::uint32_t m_attempts = 0;
    std::uint32_t m_nested_attempts = 0;
    std::uint32_t m_spent_retries = 0;
    std::uint32_t m_redirects = 0; ///< Attempts that only told where the key's home is.
    std::uint64_t m_homes_version = 0;
    std::uint32_t m_broken_attempts = 0;   ///< The backend server broke off.
    std::uint32_t m_arrivals = 0;          ///< Attempts that may have reached a backend server.
    std::optional<problem> m_earlier;      ///< What the attempts before the last one came to.
    std::uint32_t m_lost_home_answers = 0; ///< The home of the key can't be reached.
    unsigned m_answer_status = 0;          ///< Of the attempt under way; 0 before its answer begins.
    std::uint32_t m_lent = 0;              ///< Attempts that the gate may spend on nested calls.
    std::chrono::nanoseconds m_waited_for_route{0};
    std::vector<core::endpoint_id> m_tried;
    std::shared_ptr<attempt_channel> m_channel;
    core::attempt_id m_attempt;
    core::steady_time m_attempt_began;
};

} // namespace monsoonlift::entry::internal
