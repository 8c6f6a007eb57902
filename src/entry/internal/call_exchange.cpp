#include "entry/internal/call_exchange.h"
#include "entry/internal/attempt_result.h"

#include "entry/internal/attempt_problem.h"
#include "entry/internal/freshness_check.h"
#include "logging/contained_step.h"
#include "transfer/body_digest.h"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace monsoonlift::entry::internal {

using core::verdict;
using transport::end_reason;

namespace {

using namespace std::chrono_literals;

/// Bytes of a request body that are buffered, so that the request can be resent.
constexpr std::size_t replay_bytes = 64 * 1024;

/// Time between two checks for a reachable backend server.
constexpr std::chrono::milliseconds route_poll_interval = 20ms;

/// Retry-After for callers refused by a stopping daemon; short, because other daemons can serve them.
constexpr std::chrono::milliseconds stopping_retry_after = 50ms;

problem no_configuration() {
    return {503,
            verdict::not_run,
            "no-configuration",
            "The daemon is not ready",
            "no configuration has been adopted yet",
            std::chrono::seconds(1)};
}

problem stopping(std::string detail) {
    return {503,
            verdict::not_run,
            "draining",
            "The daemon is about to stop",
            std::move(detail),
            stopping_retry_after};
}

/// The problem of a call that ended before it could begin.
problem not_begun(end_reason reason, std::string detail) {
    transport::attempt_end end;
    end.run = verdict::not_run;
    end.reason = reason;
    end.detail = std::move(detail);
    return problem_of(end);
}

problem incomplete_body() {
    return {
        400,
        verdict::not_run,
        "body-incomplete",
        "The request body is not whole",
        "the request body ended early, is malformed or has a chunk extension or a trailer that is too long",
        {}};
}

} // namespace

call_exchange::call_exchange(entry_state& shared, std::shared_ptr<entry_state> keep_alive,
                             std::shared_ptr<request_connection> connection)
    : m_shared(shared), m_keep_alive(std::move(keep_alive)), m_connection(std::move(connection)),
      m_in_flight(std::in_place, shared.in_flight), m_class(&shared.classes.unknown()),
      m_began(m_connection->arrived()), m_call_number(shared.next_call()) {
    ++m_shared.calls;
}

bool call_exchange::prepare() {
    if (is_permit_request()) {
        return false;
    }
    try {
        m_parse_trouble = parse();
    } catch (...) {
        m_preparation_failure = std::current_exception();
        return false;
    }
    const bool can_run_beside = m_parse_trouble || m_call.context.idempotent;
    return can_run_beside && !m_connection->has_body();
}

boost::asio::awaitable<void> call_exchange::run() {
    if (m_preparation_failure) {
        std::rethrow_exception(m_preparation_failure);
    }
    if (is_permit_request()) {
        set_root_id(m_shared.routes.draw_root());
        co_await issue_permit();
        co_return;
    }
    const auto trouble = m_parse_trouble ? m_parse_trouble : begin();
    if (trouble) {
        if (trouble->request) {
            set_root_id(*trouble->request);
        } else if (m_call.context.root == core::root_id{}) {
            set_root_id(m_shared.routes.draw_root());
        }
        co_await refuse(*trouble);
        co_return;
    }
    m_connection->allow_until(m_call.context.deadline + m_shared.options.answer_patience);
    co_await serve();
    m_class->call_time.record(m_shared.clock.now() - m_began);
    m_connection->stop_watching();
    return_budget();
}

void call_exchange::finish() {
    m_connection->finish();
    m_in_flight.reset();
}

std::optional<problem> call_exchange::parse() {
    // NOTE: read before the configuration, so that the proof holds for the revision that is used.
    const auto age_check = begin_freshness_check(m_shared.options.proofs.get());
    m_configuration = m_shared.configuration();
    if (!m_configuration) {
        return no_configuration();
    }
    const parsing_rules rules{*m_configuration, m_shared.options.default_patience,
                              m_shared.sender.self().life, &m_shared.budgets};
    auto parsed = m_shared.options.protocol.parse(m_connection->request(), rules, m_began);
    if (auto outdated = age_check.refuse(parsed, m_configuration->revision, m_shared.clock, m_shared.log)) {
        return outdated;
    }
    if (auto* trouble = std::get_if<problem>(&parsed)) {
        return std::move(*trouble);
    }
    m_call = std::move(std::get<parsed_call>(parsed));
    return std::nullopt;
}

std::optional<problem> call_exchange::begin() {
    m_class = &m_shared.classes.of(m_call.context.rank);
    m_account = m_call.parent ? nullptr : m_shared.accounts.count_call(m_call.context.account);
    if (m_call.parent) {
        set_root_id(m_call.parent->root);
    } else {
        set_root_id(m_call.request ? *m_call.request : m_shared.routes.draw_root());
    }
    if (m_connection->is_gone()) {
        m_caller_gone = true;
        return not_begun(end_reason::cancelled, "the caller went away before the request could run");
    }
    if (m_shared.refuses_roots() && !m_call.parent) {
        return stopping("this daemon is about to stop and takes no new root calls");
    }
    if (auto refused = refuse_by_stop()) {
        return refused;
    }
    const bool has_waited_too_long =
        m_call.context.deadline > m_began && m_shared.clock.now() >= m_call.context.deadline;
    if (has_waited_too_long) {
        return not_begun(end_reason::deadline, "the deadline passed before the request could run");
    }
    begin_context(*m_configuration);
    m_shared.decisions.accepted(decided(), m_call, m_configuration->revision);
    m_configuration.reset();
    return std::nullopt;
}

std::optional<problem> call_exchange::refuse_by_stop() const {
    if (m_shared.refuses_all()) {
        return stopping("this daemon is about to stop and takes no new calls");
    }
    const auto end = m_shared.calls_end();
    if (end == core::steady_time::max()) {
        return std::nullopt;
    }
    const auto likely = m_shared.routes.likely_call_time(m_call.kind, m_call.latency_objective);
    if (routing::ends_before(end, m_call.context.deadline, m_shared.clock.now(), likely)) {
        return std::nullopt;
    }
    return stopping("this daemon stops before the call is likely to end");
}

void call_exchange::set_root_id(const core::root_id& root) {
    m_call.context.root = root;
    m_connection->set_request_id(root);
}

void call_exchange::begin_context(const configuration::document& configuration) {
    m_has_budget = true;
    m_shared.routes.set_retry_ratio(configuration.retries.ratio);
    if (!m_call.parent) {
        m_call.context.attempts_left = configuration.retries.attempts_per_root;
        m_shared.routes.grant(m_call.context);
        return;
    }
    const bool issued_here = m_call.parent->issuer == m_shared.sender.self().life;
    m_call.context.attempts_left = issued_here ? m_shared.budgets.reserve(m_call.parent->run) : 0;
    m_made_by = issued_here ? m_shared.budgets.progress(m_call.parent->run) : gate::run_progress{};
    if (m_shared.options.whole_chains) {
        m_call.context.work_spent += m_made_by.calls_ended;
    }
}

void call_exchange::return_budget() {
    if (!std::exchange(m_has_budget, false)) {
        return;
    }
    if (!m_call.parent) {
        m_shared.routes.give_back(m_call.context.attempts_left);
        return;
    }
    if (m_call.parent->issuer == m_shared.sender.self().life) {
        const auto spent = m_spent_retries + m_nested_attempts;
        m_shared.budgets.give_back(m_call.parent->run, m_call.context.attempts_left, spent);
    }
}

boost::asio::awaitable<void> call_exchange::serve() {
    const bool can_send_body = co_await m_connection->send_continue();
    if (!can_send_body) {
        count_abandoned(verdict::not_run);
        m_connection->abort();
        co_return;
    }
    const bool read = co_await read_first_bytes();
    if (!read) {
        const auto trouble = incomplete_body();
        co_await refuse(trouble);
        co_return;
    }
    watch_caller();
    if (m_caller_gone) {
        const auto trouble =
            not_begun(end_reason::cancelled, "the caller went away before the request could run");
        co_await refuse(trouble);
        co_return;
    }
    const bool is_within_limit = co_await take_quota();
    if (!is_within_limit) {
        co_return;
    }
    co_await make_attempts();
}

boost::asio::awaitable<bool> call_exchange::read_first_bytes() {
    while (!m_connection->is_body_read() && m_first_bytes.size() < replay_bytes) {
        const auto missing_bytes = replay_bytes - m_first_bytes.size();
        const bool read = co_await m_connection->read_body(m_first_bytes, missing_bytes);
        if (!read) {
            co_return false;
        }
    }
    co_return true;
}

boost::asio::awaitable<void> call_exchange::make_attempts() {
    while (true) {
        auto trouble = begin_attempt();
        const bool checks_again = trouble && co_await wait_for_route(*trouble);
        if (checks_again) {
            continue;
        }
        if (trouble) {
            m_shared.counts.count(m_call.service, attempt_outcome_kind::not_sent);
            const auto combined = final_problem(m_earlier, *trouble);
            co_await refuse(combined);
            co_return;
        }
        const auto outcome = co_await follow_attempt();
        end_attempt(outcome);
        if (outcome.settled) {
            co_return;
        }
        const bool retries_call = co_await wait_for_next(outcome);
        if (!retries_call) {
            const auto combined = final_problem(m_earlier, last_problem(outcome));
            co_await refuse(combined);
            co_return;
        }
        if (!is_about_home(outcome.end.reason)) {
            m_earlier = final_problem(m_earlier, last_problem(outcome));
        }
    }
}

boost::asio::awaitable<bool> call_exchange::wait_for_route(const problem& trouble) {
    // NOTE: a backend server whose VM was paused, or that was wrongly suspected, is usually reachable again
    // within moments.
    const bool nothing_tried = m_attempts == 0 && m_redirects == 0;
    const bool too_late = m_waited_for_route >= m_shared.options.route_patience ||
                          m_shared.clock.now() + route_poll_interval >= m_call.context.deadline;
    if (!is_without_backend(trouble) || !nothing_tried || too_late || m_caller_gone) {
        co_return false;
    }
    m_waited_for_route += route_poll_interval;
    co_return co_await pause(route_poll_interval);
}

std::optional<problem> call_exchange::begin_attempt() {
    // NOTE: the process would end under the attempt, and the caller's connection with it.
    if (auto refused = refuse_by_stop()) {
        return refused;
    }
    auto chosen = choose_destination();
    if (auto* trouble = std::get_if<problem>(&chosen)) {
        return std::move(*trouble);
    }
    const auto& endpoint = std::get<core::endpoint_id>(chosen);
    m_attempt = {m_shared.sender.self().life, m_call_number, m_attempts + m_redirects};
    m_attempt_began = m_shared.clock.now();
    m_answer_status = 0;
    m_lent_attempts = 0;
    m_channel = std::make_shared<attempt_channel>(m_connection->strand(), endpoint);
    m_shared.open(m_attempt, m_channel);
    m_shared.routes.record_sent(endpoint, m_attempts == 0, budgeted(), m_attempt_began);
    m_is_attempt_open = true;
    ++m_attempts;
    ++m_shared.attempts;
    m_shared.decisions.sent(decided(), {m_attempt, endpoint, m_route_reason, m_evidence, m_homes_version});
    send_request();
    return std::nullopt;
}

void call_exchange::send_request() {
    transport::request_head head;
    head.reply_address = m_shared.sender.self().address;
    head.gate_address = m_channel->endpoint().address;
    m_lent_attempts = retry::lend(m_call.context);
    head.context = m_call.context;
    head.context.attempts_left = m_lent_attempts;
    head.service = m_call.service;
    if (m_shared.options.whole_chains) {
        head.kind = m_call.kind;
    }
    head.method = m_connection->request().method;
    head.target = m_connection->request().target;
    head.headers = m_call.headers;
    head.body = m_first_bytes;
    head.expires = m_shared.clock.wall_now() + std::chrono::duration_cast<core::wall_time::duration>(
                                                   core::time_left(m_call.context, m_shared.clock.now()));
    head.homes_version = m_homes_version;
    if (m_connection->is_body_read()) {
        head.total = transfer::total_of(head.body);
    }
    const bool is_body_complete = head.total.has_value();
    send(std::move(head));
    if (!is_body_complete) {
        boost::asio::co_spawn(
            m_connection->strand(),
            [self = shared_from_this(), channel = m_channel, attempt = m_attempt] {
                return self->upload(channel, attempt);
            },
            [self = shared_from_this(), channel = m_channel,
             attempt = m_attempt](const std::exception_ptr& failure) {
                if (failure) {
                    logging::report_failure(self->m_shared.log, {"an upload", attempt}, failure);
                    channel->events.push(local_event::broken_off);
                }
            });
    }
}

boost::asio::awaitable<void> call_exchange::upload(std::shared_ptr<attempt_channel> channel,
                                                   core::attempt_id attempt) {
    transfer::body_digest digest;
    digest.add(m_first_bytes);
    while (!m_connection->is_body_read()) {
        const bool allowed = co_await channel->credit.take(core::steady_time::max());
        if (!allowed) {
            co_return;
        }
        m_replayable = false;
        transport::body_chunk chunk{digest.length(), {}};
        const bool read = co_await m_connection->read_body(chunk.data, m_shared.options.body_chunk_bytes);
        const bool has_ended = channel->events.is_closed();
        if (has_ended) {
            co_return;
        }
        if (!read) {
            channel->events.push(local_event::caller_gone);
            co_return;
        }
        extend_timeout();
        if (!chunk.data.empty()) {
            digest.add(chunk.data);
            m_shared.send(attempt, channel->endpoint(), std::move(chunk));
        }
    }
    m_shared.send(attempt, channel->endpoint(), transport::body_end{digest.total(), {}});
    watch_caller();
}

void call_exchange::end_attempt(const attempt_outcome& outcome) {
    const auto& end = outcome.end;
    close_attempt(end);
    m_shared.counts.count(m_call.service, outcome_kind_of(end.reason, m_answer_status));
    note_levels(end);
    m_tried.push_back(m_channel->endpoint());
    if (outcome.settled) {
        note_settled(outcome);
        count_end(end);
    }
}

void call_exchange::close_attempt(const transport::attempt_end& end) {
    m_is_attempt_open = false;
    if (m_answer_watchdog) {
        m_answer_watchdog->stop();
    }
    m_shared.close(m_attempt);
    m_channel->credit.close();
    m_channel->events.close();
    m_nested_attempts += end.nested_attempts.value_or(m_lent_attempts);
    retry::settle(m_call.context, m_lent_attempts, end.nested_attempts);
    const auto now = m_shared.clock.now();
    const bool is_due_to_caller = m_caller_gone || m_is_held_by_caller;
    auto result = to_attempt_result(end, m_answer_status, is_due_to_caller, now - m_attempt_began);
    result.kind = m_call.kind;
    m_shared.routes.record_result(m_channel->endpoint(), result, now);
    if (m_call.parent && result.succeeded && end.nested_calls) {
        m_shared.routes.record_nested_calls(m_call.kind, *end.nested_calls);
    }
}

void call_exchange::note_levels(const transport::attempt_end& end) {
    if (!m_call.parent) {
        m_shared.routes.record_chain(m_call.kind, end.nested_level, m_shared.clock.now());
        return;
    }
    note_level(end.nested_level);
    note_below(end);
    if (end.load) {
        note_level(end.load->level);
    }
}

void call_exchange::note_level(const admission::shed_level& met) {
    if (m_call.parent && m_call.parent->issuer == m_shared.sender.self().life) {
        m_shared.budgets.note_level(m_call.parent->run, met);
    }
}

void call_exchange::note_called(const admission::shed_level& own) {
    if (m_shared.options.whole_chains && m_call.parent &&
        m_call.parent->issuer == m_shared.sender.self().life) {
        m_shared.budgets.note_called(m_call.parent->run, m_call.service, own, m_shared.clock.now());
    }
}

void call_exchange::note_below(const transport::attempt_end& end) {
    if (m_shared.options.whole_chains && end.load) {
        m_shared.budgets.note_below(m_call.service, end.nested_level, m_shared.clock.now());
    }
}

void call_exchange::note_settled(const attempt_outcome& outcome) {
    if (outcome.end.reason == end_reason::answered) {
        m_shared.decisions.attempt_answered(decided(), ended(outcome));
        return;
    }
    const auto* next =
        m_caller_gone ? "none: the caller went away" : "none: the caller's connection was reset";
    m_shared.decisions.attempt_failed(decided(), ended(outcome), next);
}

void call_exchange::count_end(const transport::attempt_end& end) {
    const bool is_answered = end.reason == end_reason::answered;
    m_is_counted = true;
    ++(is_answered ? m_shared.answered : m_shared.failed);
    if (is_answered) {
        m_class->count_end(call_outcome::answered, end.run);
        count_answered(m_account);
        m_shared.decisions.answered(decided(), ended_now(), m_answer_status);
    } else if (m_caller_gone) {
        count_abandoned(end.run);
    } else {
        m_class->count_end(call_outcome::cut_short, end.run);
    }
}

void call_exchange::count_abandoned(verdict run) {
    m_class->count_end(call_outcome::caller_gone, run);
    m_shared.decisions.abandoned(decided(), ended_now(), run);
}

boost::asio::awaitable<bool> call_exchange::pause(std::chrono::nanoseconds delay) {
    boost::asio::steady_timer timer(m_connection->strand());
    timer.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(delay));
    const auto [failure] = co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    co_return !failure && !m_caller_gone;
}

boost::asio::awaitable<void> call_exchange::refuse(const problem& trouble) {
    m_is_counted = true;
    if (trouble.run == verdict::not_run && m_arrivals == 0) {
        return_token();
    }
    ++(trouble.run == verdict::not_run ? m_shared.refused : m_shared.failed);
    if (m_caller_gone) {
        count_abandoned(trouble.run);
        m_connection->abort();
        co_return;
    }
    m_class->count_end(call_outcome::problem, trouble.run);
    m_class->count_problem(trouble);
    count_problem(m_account, trouble);
    m_shared.events.problem_sent(subject(), trouble);
    m_shared.decisions.refused(decided(), ended_now(), trouble, m_evidence);
    co_await m_connection->write_problem(trouble, attempts_spent());
}

decided_call call_exchange::decided() const {
    return {m_call.context.root, m_call_number, m_call.service, m_class->name()};
}

ended_attempt call_exchange::ended(const attempt_outcome& outcome) const {
    return {m_attempt, m_channel->endpoint(), outcome.end, outcome.from_gate,
            m_shared.clock.now() - m_attempt_began};
}

ended_call call_exchange::ended_now() const {
    return {attempts_spent(), m_shared.clock.now() - m_began};
}

void call_exchange::watch_caller() {
    if (!m_connection->is_body_read()) {
        return;
    }
    m_connection->watch([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->m_caller_gone = true;
        if (self->m_channel) {
            self->m_channel->events.push(local_event::caller_gone);
        }
    });
}

void call_exchange::extend_timeout() {
    const auto until = m_shared.clock.now() + m_shared.options.stall_patience;
    m_connection->allow_until(std::max(until, m_call.context.deadline + m_shared.options.answer_patience));
}

void call_exchange::send(decltype(transport::frame::payload) payload) {
    m_shared.send(m_attempt, m_channel->endpoint(), std::move(payload));
}

} // namespace monsoonlift::entry::internal
