// The entry takes a token of the account's limit for root calls, and only for those that run.
#include "entry/tests/wired_fleet.h"

#include <boost/asio/post.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;
using outcome = quota::token_decision::outcome;

namespace {

/// Decides as the test says, and counts.
class scripted_tokens final : public quota::token_source {
public:
    quota::token_decision take(const std::string& account, core::steady_time /*deadline*/,
                               handler done) override {
        ++taken;
        last_account = account;
        quota::token_decision decision;
        decision.what = what;
        decision.token = {account, 1, {}};
        decision.retry_after = 1500ms;
        if (what == outcome::waits) {
            waiting = std::move(done);
        }
        return decision;
    }

    void give_back(const quota::taken_token& /*token*/) override { ++returned; }

    outcome what = outcome::granted;
    std::string last_account;
    handler waiting;
    int taken = 0;
    int returned = 0;
};

/// A fleet whose callers hold the key of the account "acme".
struct limited_fleet {
    std::shared_ptr<scripted_tokens> tokens = std::make_shared<scripted_tokens>();
    std::string account = "acme";
    wired_fleet fleet{{}, 1, [this](entry_options& options) {
                          options.quota = tokens;
                          options.route_patience = 20ms;
                          options.protocol.parse = [this, inner = options.protocol.parse](
                                                       const auto& request, const auto& rules, auto now) {
                              auto parsed = inner(request, rules, now);
                              if (auto* call = std::get_if<parsed_call>(&parsed)) {
                                  call->context.account = account;
                              }
                              return parsed;
                          };
                      }};

    caller_answer call() {
        std::optional<caller_answer> got;
        caller_request request;
        request.target = "/answer/1/10";
        fleet.call(0, request, [&](caller_answer answer) { got = std::move(answer); });
        REQUIRE(fleet.run_until([&] { return got.has_value(); }));
        return *got;
    }

    void announce() {
        for (const std::size_t index : {0, 1}) {
            fleet.daemon(index).announce();
        }
    }
};

} // namespace

TEST_CASE("a root call of an account takes one token and keeps it", "[account_limit]") {
    limited_fleet limited;
    limited.announce();
    REQUIRE(limited.call().status == 200);
    REQUIRE(limited.tokens->taken == 1);
    REQUIRE(limited.tokens->last_account == "acme");
    REQUIRE(limited.tokens->returned == 0);
}

TEST_CASE("a call without an account takes no token", "[account_limit]") {
    limited_fleet limited;
    limited.account.clear();
    limited.announce();
    REQUIRE(limited.call().status == 200);
    REQUIRE(limited.tokens->taken == 0);
}

TEST_CASE("a call beyond the limit is refused with 429 and one without a decision with 503",
          "[account_limit]") {
    limited_fleet limited;
    limited.announce();
    limited.tokens->what = outcome::limited;
    const auto refused = limited.call();
    REQUIRE(refused.status == 429);
    REQUIRE(refused.verdict == "not_run");
    limited.tokens->what = outcome::no_answer;
    const auto unknown = limited.call();
    REQUIRE(unknown.status == 503);
    REQUIRE(unknown.verdict == "not_run");
    REQUIRE(limited.fleet.daemon(0).entry().counters().refused == 2);
    REQUIRE(limited.fleet.daemon(0).entry().counters().attempts == 0);
}

TEST_CASE("a call that waits for a token runs when it gets one", "[account_limit]") {
    limited_fleet limited;
    limited.announce();
    limited.tokens->what = outcome::waits;
    std::optional<caller_answer> got;
    caller_request request;
    request.target = "/answer/1/10";
    limited.fleet.call(0, request, [&](caller_answer answer) { got = std::move(answer); });
    REQUIRE(limited.fleet.run_until([&] { return limited.tokens->waiting != nullptr; }));
    REQUIRE_FALSE(got);
    quota::token_decision later;
    later.token = {"acme", 2, {}};
    // The handler refers to the fleet, which is destroyed before the tokens.
    std::exchange(limited.tokens->waiting, nullptr)(later);
    REQUIRE(limited.fleet.run_until([&] { return got.has_value(); }));
    REQUIRE(got->status == 200);
}

TEST_CASE("a call that reached no backend server gives its token back", "[account_limit]") {
    limited_fleet limited;
    for (const std::size_t index : {0, 1}) {
        membership::member gone;
        gone.id = limited.fleet.daemon(index).id();
        gone.service = "mappa";
        gone.data_centre = "palermo";
        gone.status = membership::member_status::dead;
        limited.fleet.daemon(0).entry().member_changed(gone);
    }
    const auto answer = limited.call();
    REQUIRE(answer.status == 503);
    REQUIRE(answer.verdict == "not_run");
    REQUIRE(limited.tokens->taken == 1);
    REQUIRE(limited.tokens->returned == 1);
}
