// The part of call_exchange that takes a token of the account's limit.
#include "entry/internal/call_exchange.h"
#include "quota/token_source.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

namespace monsoonlift::entry::internal {

using core::verdict;
using outcome = quota::token_decision::outcome;

namespace {

using namespace std::chrono_literals;

/// Longest wait for a decision. The quota decides within longest_wait; this bounds the wait if it fails to.
constexpr std::chrono::milliseconds decision_timeout = 1000ms;

/// A decision on its way to the call that waits for it; used on the strand of the connection.
struct token_wait {
    boost::asio::steady_timer timer;
    std::optional<quota::token_decision> decision;
    bool is_over = false; ///< The call no longer waits, so a token that is granted now goes back.
};

problem limit_reached(const std::string& account, const configuration::document* rules,
                      const quota::token_decision& decision) {
    std::ostringstream detail;
    detail << "the limit of account " << account << " is reached";
    const auto* known =
        rules != nullptr && rules->accounts ? accounts::find_by_name(*rules->accounts, account) : nullptr;
    if (known != nullptr) {
        detail << ": " << known->limit.rate_per_second << " calls a second over all entries and "
               << known->limit.burst << " more at once; " << decision.demand << " calls a second come";
    }
    return {429,          verdict::not_run,    "quota-exceeded", "The account's limit is reached",
            detail.str(), decision.retry_after};
}

problem limit_unknown(std::chrono::milliseconds retry_after) {
    return {503,
            verdict::not_run,
            "quota-unavailable",
            "The account's limit can't be checked",
            "the daemon that grants calls within the account's limit has not answered",
            retry_after};
}

quota::token_decision no_decision() {
    quota::token_decision decision;
    decision.what = outcome::no_answer;
    decision.retry_after = decision_timeout;
    return decision;
}

} // namespace

boost::asio::awaitable<bool> call_exchange::take_quota() {
    const bool counts = m_shared.options.quota && !m_call.parent && !m_call.context.account.empty();
    if (!counts) {
        co_return true;
    }
    auto decision = co_await await_token();
    if (decision.what == outcome::granted) {
        m_token = std::move(decision.token);
        if (!m_caller_gone) {
            co_return true;
        }
        return_token();
        m_is_counted = true;
        ++m_shared.refused;
        count_abandoned(verdict::not_run);
        m_connection->abort();
        co_return false;
    }
    const auto rules = m_shared.configuration();
    const auto trouble = decision.what == outcome::limited
                             ? limit_reached(m_call.context.account, rules.get(), decision)
                             : limit_unknown(decision.retry_after);
    co_await refuse(trouble);
    co_return false;
}

boost::asio::awaitable<quota::token_decision> call_exchange::await_token() {
    const auto strand = m_connection->strand();
    const auto wait = std::make_shared<token_wait>(token_wait{boost::asio::steady_timer(strand), {}, false});
    auto decided_later = [wait, strand,
                          source = std::weak_ptr(m_shared.options.quota)](quota::token_decision later) {
        boost::asio::post(strand, [wait, source, later = std::move(later)]() mutable {
            if (wait->is_over) {
                if (const auto quota = source.lock()) {
                    quota->give_back(later.token);
                }
                return;
            }
            wait->decision = std::move(later);
            wait->timer.cancel();
        });
    };
    auto decision = m_shared.options.quota->take(m_call.context.account, m_call.context.deadline,
                                                 std::move(decided_later));
    if (decision.what != outcome::waits) {
        co_return decision;
    }
    wait->timer.expires_after(decision_timeout);
    co_await wait->timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    wait->is_over = true;
    co_return wait->decision.value_or(no_decision());
}

void call_exchange::return_token() {
    if (m_token) {
        m_shared.options.quota->give_back(*std::exchange(m_token, std::nullopt));
    }
}

} // namespace monsoonlift::entry::internal
