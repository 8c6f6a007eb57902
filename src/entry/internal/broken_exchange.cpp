// The part of call_exchange that ends a call which an internal error broke off.
#include "entry/internal/call_exchange.h"
#include "logging/contained_step.h"

#include <utility>

namespace monsoonlift::entry::internal {

using core::verdict;

boost::asio::awaitable<void> call_exchange::break_off(std::exception_ptr failure) {
    logging::report_failure(m_shared.log, {"a call", m_attempt, m_call.context.root}, failure);
    const auto try_step = [this](const auto& step) {
        logging::contain(m_shared.log, {"the end of a call", m_attempt, m_call.context.root}, step);
    };
    m_connection->stop_watching();
    try_step([this] { break_off_attempt(); });
    try_step([this] { return_budget(); });
    try_step([this] {
        if (verdict_after_failure() == verdict::not_run) {
            return_token();
        }
    });
    const problem trouble{500,
                          verdict_after_failure(),
                          "internal-error",
                          "The daemon failed",
                          "an internal error broke the call off",
                          {}};
    try_step([&] { count_broken(trouble); });
    if (m_connection->answered() == request_connection::answer_state::complete) {
        co_return;
    }
    if (m_caller_gone || m_connection->answered() == request_connection::answer_state::begun) {
        m_connection->abort();
        co_return;
    }
    co_await m_connection->write_problem(trouble, attempts_spent());
}

void call_exchange::break_off_attempt() {
    if (!m_is_attempt_open) {
        return;
    }
    logging::contain(m_shared.log, {"the cancellation of an attempt", m_attempt, m_call.context.root},
                     [this] { send(transport::cancel{}); });
    transport::attempt_end end;
    end.run = verdict::may_have_run;
    end.reason = transport::end_reason::cancelled;
    close_attempt(end);
}

verdict call_exchange::verdict_after_failure() const {
    const bool nothing_sent = m_attempts + m_redirects == 0;
    return nothing_sent && !is_bound_to_home() ? verdict::not_run : verdict::may_have_run;
}

void call_exchange::count_broken(const problem& trouble) {
    if (std::exchange(m_is_counted, true)) {
        return;
    }
    switch (m_connection->answered()) {
    case request_connection::answer_state::none:
        ++(trouble.run == verdict::not_run ? m_shared.refused : m_shared.failed);
        m_class->count_end(m_caller_gone ? call_outcome::caller_gone : call_outcome::problem, trouble.run);
        m_class->count_problem(trouble);
        break;
    case request_connection::answer_state::begun:
        ++m_shared.failed;
        m_class->count_end(call_outcome::cut_short, trouble.run);
        break;
    case request_connection::answer_state::complete:
        ++m_shared.answered;
        m_class->count_end(call_outcome::answered, verdict::ran);
        break;
    }
}

} // namespace monsoonlift::entry::internal
