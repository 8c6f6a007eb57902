#include "entry/identify_account.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace std::chrono_literals;

namespace {

constexpr core::incarnation self{77};

struct account_calls {
    account_calls() {
        rules.classes = {"urgent", "bulk"};
        configuration::service_rule mappa;
        mappa.name = "mappa";
        mappa.calls = {{"look", "GET", "/", "bulk", 1, true, 0ms}};
        rules.services = {mappa};
        rules.accounts.emplace();
        REQUIRE(accounts::add(*rules.accounts, {"school", {accounts::digest_of("k1")}, {}, {}}).empty());
        REQUIRE(accounts::add(*rules.accounts, {"employer", {accounts::digest_of("k2")}, {}, {}}).empty());
        running.root.bytes[0] = 9;
        running.depth = 1;
        running.rank = 0;
        running.account = "school";
        runs.open(5, 0, false, running);
    }

    /// The token of the request that runs here, as the gate issues it.
    [[nodiscard]] gate::context_token token() const {
        gate::context_token made;
        made.root = running.root;
        made.depth = running.depth;
        made.rank = running.rank;
        made.deadline = now + 300ms;
        made.run = 5;
        made.issuer = self;
        return made;
    }

    [[nodiscard]] std::variant<parsed_call, problem> parse(std::vector<transport::header> more) const {
        std::vector<transport::header> headers{{"Monsoonlift-Service", "mappa"}};
        headers.insert(headers.end(), more.begin(), more.end());
        return parse_call({"GET", "/", headers}, {rules, 5000ms, self, &runs}, now);
    }

    [[nodiscard]] parsed_call must(std::vector<transport::header> more) const {
        auto parsed = parse(std::move(more));
        if (const auto* trouble = std::get_if<problem>(&parsed)) {
            FAIL(trouble->type << ": " << trouble->detail);
        }
        return std::get<parsed_call>(parsed);
    }

    [[nodiscard]] std::string refusal_of(std::vector<transport::header> more) const {
        const auto parsed = parse(std::move(more));
        REQUIRE(std::holds_alternative<problem>(parsed));
        const auto& trouble = std::get<problem>(parsed);
        CHECK(trouble.run == core::verdict::not_run);
        return std::to_string(trouble.status) + " " + trouble.type;
    }

    configuration::document rules;
    gate::nested_budgets runs;
    gate::run_origin running;
    core::steady_time now = core::steady_time(1h);
};

std::vector<std::string> values_of(const parsed_call& call, const std::string& name) {
    std::vector<std::string> values;
    for (const auto& field : call.headers) {
        if (field.name == name) {
            values.push_back(field.value);
        }
    }
    return values;
}

transport::header context(const gate::context_token& token) {
    return {"Monsoonlift-Context", gate::to_string(token)};
}

} // namespace

TEST_CASE("a root call needs a known key, and its backend server gets the account's name only", "[entry]") {
    const account_calls calls;
    const auto call = calls.must({{"Authorization", "Token k1"}, {"Monsoonlift-Account", "employer"}});
    CHECK(call.context.account == "school");
    CHECK(values_of(call, "Monsoonlift-Account") == std::vector<std::string>{"school"});
    CHECK(values_of(call, "Authorization").empty());

    CHECK(calls.refusal_of({}) == "401 missing-key");
    CHECK(calls.refusal_of({{"Authorization", "Token stolen"}}) == "401 unknown-key");
    CHECK(calls.refusal_of({{"Authorization", "Bearer k1"}}) == "401 unknown-key");
    CHECK(calls.refusal_of({{"Authorization", "Token k1"}, {"Authorization", "Token k1"}}) ==
          "401 unknown-key");
}

TEST_CASE("a nested call belongs to the account of the request that makes it", "[entry]") {
    const account_calls calls;
    const auto call = calls.must({context(calls.token()), {"Monsoonlift-Account", "employer"}});
    REQUIRE(call.parent);
    CHECK(call.context.account == "school");
    CHECK(call.context.depth == 2);
    CHECK(values_of(call, "Monsoonlift-Account") == std::vector<std::string>{"school"});
}

TEST_CASE("a token that a caller writes itself claims neither an account nor a class", "[entry]") {
    const account_calls calls;
    auto forged = calls.token();
    forged.run = 6;
    CHECK(calls.refusal_of({context(forged)}) == "503 parent-not-running");
    forged = calls.token();
    forged.root.bytes[1] = 1;
    CHECK(calls.refusal_of({context(forged)}) == "503 parent-not-running");
    forged = calls.token();
    forged.issuer = {78};
    CHECK(calls.refusal_of({context(forged)}) == "503 parent-not-running");
    forged = calls.token();
    forged.depth = 0;
    CHECK(calls.refusal_of({context(forged)}) == "503 parent-not-running");

    // The class comes from the run too, or a caller could raise its own.
    forged = calls.token();
    forged.rank = 1;
    CHECK(calls.must({context(forged)}).context.rank == 0);
}

TEST_CASE("a call with a key belongs to the key's account, whatever token it carries", "[entry]") {
    const account_calls calls;
    const auto call = calls.must({context(calls.token()), {"Authorization", "Token k2"}});
    CHECK(call.context.account == "employer");
    CHECK_FALSE(call.parent);
    CHECK(calls.refusal_of({context(calls.token()), {"Authorization", "Token stolen"}}) == "401 unknown-key");
}

TEST_CASE("the token of a run that ended gets 503, as its backend server has no key", "[entry]") {
    account_calls calls;
    const auto token = calls.token();
    calls.runs.close(5);
    CHECK(calls.refusal_of({context(token)}) == "503 parent-not-running");
}

TEST_CASE("without accounts a call needs no key, and Authorization is passed on", "[entry]") {
    account_calls calls;
    calls.rules.accounts.reset();
    const auto call = calls.must({{"Authorization", "Bearer k1"}});
    CHECK(call.context.account.empty());
    CHECK(values_of(call, "Authorization") == std::vector<std::string>{"Bearer k1"});
    CHECK(values_of(call, "Monsoonlift-Account").empty());
    auto other = calls.token();
    other.run = 6;
    CHECK(calls.must({context(other)}).parent);
}
