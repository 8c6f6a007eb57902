#include "entry/identify_account.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;

namespace {

configuration::document rules_with_accounts() {
    configuration::document rules;
    rules.revision = 7;
    rules.accounts.emplace();
    accounts::account school{"school", {accounts::digest_of("school-key")}, core::class_rank{1}, {}};
    accounts::account employer{"employer", {accounts::digest_of("employer-key")}, {}, {}};
    REQUIRE(accounts::add(*rules.accounts, school).empty());
    REQUIRE(accounts::add(*rules.accounts, employer).empty());
    return rules;
}

parsed_call call_of_rank(core::class_rank rank) {
    parsed_call call;
    call.needs_key = true;
    call.context.rank = rank;
    return call;
}

} // namespace

TEST_CASE("a key sets the account, and the account's class goes before the route's") {
    const auto rules = rules_with_accounts();
    auto call = call_of_rank(3);
    CHECK_FALSE(identify_account(call, "school-key", rules));
    CHECK(call.context.account == "school");
    CHECK(call.context.rank == 1);

    auto other = call_of_rank(3);
    CHECK_FALSE(identify_account(other, "employer-key", rules));
    CHECK(other.context.account == "employer");
    CHECK(other.context.rank == 3);
}

TEST_CASE("without a known key a call that needs one is refused, and no key is quoted") {
    const auto rules = rules_with_accounts();
    for (const std::string_view key : {"", "stolen-key"}) {
        auto call = call_of_rank(3);
        const auto trouble = identify_account(call, key, rules);
        REQUIRE(trouble);
        CHECK(trouble->status == 401);
        CHECK(trouble->run == core::verdict::not_run);
        CHECK(trouble->detail.find("stolen") == std::string::npos);
        CHECK(call.context.account.empty());
    }
}

TEST_CASE("an empty list of accounts accepts no key, and no list asks for none") {
    configuration::document rules;
    auto call = call_of_rank(3);
    CHECK_FALSE(identify_account(call, "", rules));
    rules.accounts.emplace();
    CHECK(identify_account(call, "any", rules));
}

TEST_CASE("on a public route a key is optional, and a known one still sets the account") {
    const auto rules = rules_with_accounts();
    auto call = call_of_rank(3);
    call.needs_key = false;
    CHECK_FALSE(identify_account(call, "stolen-key", rules));
    CHECK(call.context.account.empty());
    CHECK_FALSE(identify_account(call, "school-key", rules));
    CHECK(call.context.account == "school");
}

TEST_CASE("the key is what follows the scheme Token, in any case") {
    CHECK(key_in("Token abc") == "abc");
    CHECK(key_in("token  abc") == "abc");
    CHECK(key_in("Bearer abc").empty());
    CHECK(key_in("Token").empty());
    CHECK(key_in("Token ").empty());
    CHECK(key_in("").empty());
}
