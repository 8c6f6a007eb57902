// The part of call_exchange that finds the home of a key: the one gate incarnation that may run a keyed
// non-idempotent request.
#include "entry/internal/attempt_problem.h"
#include "entry/internal/call_exchange.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::entry::internal {

using core::verdict;
using transport::end_reason;

namespace {

using namespace std::chrono_literals;

constexpr std::string_view permit_path = "/.monsoonlift/permits";
constexpr std::chrono::milliseconds redirect_delay = 100ms;
constexpr std::uint32_t max_redirects = 50;

/// Number of redirects of a call up to which it goes to the next gate without a pause if a gate doesn't know
/// the home.
constexpr std::uint32_t redirects_without_pause = 4;

/// Answers naming a home unknown to membership after which the home counts as lost and the call fails.
constexpr std::uint32_t max_lost_home_answers = 5;

problem home_lost(std::string detail) {
    transport::attempt_end end;
    end.run = verdict::may_have_run;
    end.reason = end_reason::home_unknown;
    end.detail = std::move(detail);
    return problem_of(end);
}

} // namespace

bool call_exchange::is_bound_to_home() const {
    return !m_call.context.idempotent && !m_call.context.key.empty();
}

call_exchange::destination call_exchange::choose_destination() {
    if (!is_bound_to_home()) {
        return choose_any();
    }
    const auto key = execution::parse_key(m_call.context.key);
    return key ? choose_home(*key) : choose_any();
}

call_exchange::destination call_exchange::choose_any() {
    const auto now = m_shared.clock.now();
    if (auto trouble = refuse_by_chain()) {
        return *std::move(trouble);
    }
    const auto choice = m_shared.routes.choose({m_call.service, m_call.context, m_call.kind, m_tried}, now);
    m_route_reason = route_reason::load;
    m_evidence = choice.evidence;
    note_level(choice.evidence.level);
    note_called(choice.evidence.level);
    if (choice.endpoint) {
        return *choice.endpoint;
    }
    auto trouble = problem_of(choice.reason, m_call.service);
    if (is_bound_to_home()) {
        // NOTE: an earlier request with the same key may have run; only the key's home knows whether it did.
        trouble.run = verdict::may_have_run;
    }
    return trouble;
}

std::optional<problem> call_exchange::refuse_by_chain() {
    const bool is_new_root = !m_call.parent && m_attempts == 0 && !is_bound_to_home();
    if (!is_new_root) {
        return std::nullopt;
    }
    const auto level = m_shared.routes.chain_level(m_call.kind, m_shared.clock.now());
    if (routing::chain_admits(level, m_call.context)) {
        return std::nullopt;
    }
    m_evidence = {};
    m_evidence.level = level;
    transport::attempt_end end;
    end.run = verdict::not_run;
    end.reason = end_reason::shed;
    end.detail = "a service that calls of this kind need further down refuses this class for now";
    end.retry_after = m_shared.routes.return_time(m_call.latency_objective);
    return problem_of(end);
}

call_exchange::destination call_exchange::choose_home(const execution::execution_key& key) {
    if (key.gate) {
        if (m_shared.routes.is_known(*key.gate)) {
            m_route_reason = route_reason::permit;
            return *key.gate;
        }
        return home_lost("the gate that the permit names is gone; an earlier copy may have run there");
    }
    const auto home = m_shared.homes.find(m_call.service, key.text);
    if (!home) {
        return choose_untried();
    }
    m_homes_version = home->version;
    if (m_shared.routes.is_known(home->gate)) {
        m_route_reason = route_reason::home;
        return home->gate;
    }
    m_shared.homes.forget(m_call.service, key.text, home->gate);
    m_tried.clear();
    return choose_any();
}

call_exchange::destination call_exchange::choose_untried() {
    auto chosen = choose_any();
    if (std::holds_alternative<problem>(chosen) && !m_tried.empty()) {
        m_tried.clear();
        return choose_any();
    }
    return chosen;
}

boost::asio::awaitable<bool> call_exchange::follow_redirect(const attempt_outcome& outcome) {
    --m_attempts;
    ++m_redirects;
    if (!m_replayable || m_caller_gone || m_redirects > max_redirects) {
        co_return false;
    }
    const auto& end = outcome.end;
    if (end.reason == end_reason::wrong_home && !end.home.address.empty()) {
        m_shared.homes.learn(m_call.service, m_call.context.key, {end.home, end.homes_version});
        if (m_shared.routes.is_known(end.home)) {
            co_return true;
        }
        if (++m_lost_home_answers >= max_lost_home_answers) {
            co_return false;
        }
    }
    if (end.reason == end_reason::home_unknown && m_redirects <= redirects_without_pause) {
        co_return true;
    }
    if (m_shared.clock.now() + redirect_delay >= m_call.context.deadline) {
        co_return false;
    }
    co_return co_await pause(redirect_delay);
}

problem call_exchange::last_problem(const attempt_outcome& outcome) const {
    auto trouble = problem_of(outcome.end);
    if (is_bound_to_home() && (is_about_home(outcome.end.reason) || !outcome.from_gate)) {
        trouble.run = verdict::may_have_run;
    }
    return trouble;
}

bool call_exchange::is_permit_request() const {
    return m_connection->request().target == permit_path;
}

boost::asio::awaitable<void> call_exchange::issue_permit() {
    const auto service = single_header(m_connection->request(), "Monsoonlift-Service");
    if (const auto* wrong = std::get_if<problem>(&service)) {
        co_await refuse(*wrong);
        co_return;
    }
    m_call.service = std::get<std::string_view>(service);
    m_call.context.deadline = m_shared.clock.now() + m_shared.options.default_patience;
    const auto chosen = choose_any();
    if (const auto* trouble = std::get_if<problem>(&chosen)) {
        co_await refuse(*trouble);
        co_return;
    }
    const auto permit =
        execution::make_permit(std::get<core::endpoint_id>(chosen), m_shared.sender.self().life,
                               m_shared.next_permit(), m_shared.clock.wall_now());
    m_is_counted = true;
    ++m_shared.answered;
    m_class->count_end(call_outcome::answered, verdict::ran);
    constexpr unsigned created = 201;
    co_await m_connection->write_json(created, R"({"key":")" + permit + R"("})");
}

} // namespace monsoonlift::entry::internal
