#include "accounts/account_table.h"

#include <catch2/catch.hpp>

namespace monsoonlift::accounts {

namespace {

account account_with(const std::string& name, const std::vector<std::string>& keys) {
    account made;
    made.name = name;
    for (const auto& key : keys) {
        made.keys.push_back(digest_of(key));
    }
    return made;
}

} // namespace

TEST_CASE("a key leads to the account that holds it, and no other key does") {
    account_table table;
    CHECK(add(table, account_with("school", {"first", "second"})).empty());
    CHECK(add(table, account_with("employer", {"third"})).empty());

    REQUIRE(find_by_key(table, "second") != nullptr);
    CHECK(find_by_key(table, "second")->name == "school");
    CHECK(find_by_key(table, "third")->name == "employer");
    CHECK(find_by_key(table, "fourth") == nullptr);
    CHECK(find_by_key(table, "") == nullptr);
    CHECK(find_by_name(table, "employer") != nullptr);
    CHECK(find_by_name(table, "nobody") == nullptr);
}

TEST_CASE("a key that two accounts claim stays with the first, and both accounts are kept") {
    account_table table;
    CHECK(add(table, account_with("school", {"shared"})).empty());
    const auto left_out = add(table, account_with("employer", {"shared", "own"}));

    REQUIRE(left_out.size() == 1);
    CHECK(left_out.front() == "a key of account \"employer\" that \"school\" holds already");
    CHECK(find_by_key(table, "shared")->name == "school");
    CHECK(find_by_key(table, "own")->name == "employer");
}

TEST_CASE("a key listed twice in one account is reported and still works") {
    account_table table;
    const auto left_out = add(table, account_with("school", {"key", "key"}));

    REQUIRE(left_out.size() == 1);
    CHECK(left_out.front() == "a key of account \"school\" that \"school\" holds already");
    CHECK(find_by_key(table, "key") != nullptr);
}

TEST_CASE("an account without a name or with a taken name is left out with its keys") {
    account_table table;
    CHECK(add(table, account_with("school", {"first"})).empty());
    CHECK(add(table, account_with("school", {"second"})).size() == 1);
    CHECK(add(table, account_with("", {"third"})).size() == 1);

    CHECK(table.accounts.size() == 1);
    CHECK(find_by_key(table, "second") == nullptr);
    CHECK(find_by_key(table, "third") == nullptr);
}

TEST_CASE("a name that would end its header field is left out with its keys") {
    account_table table;
    for (const std::string name : {"school\r\nX-Admin: yes", "school\n", " school", "school ", "a\x7f"}) {
        CHECK(add(table, account_with(name, {"first"})).size() == 1);
    }
    CHECK(table.accounts.empty());
    CHECK(find_by_key(table, "first") == nullptr);
    CHECK(add(table, account_with("Sch\xc3\xbcler 7", {"first"})).empty());
}

TEST_CASE("an empty key is left out, as a caller without a key would hold it") {
    account_table table;
    const auto left_out = add(table, account_with("school", {"", "key"}));
    REQUIRE(left_out.size() == 1);
    CHECK(left_out.front() == "a key of account \"school\" that is empty");
    CHECK(find_by_key(table, "") == nullptr);
    CHECK(find_by_key(table, "key") != nullptr);
}

TEST_CASE("digests survive their text form, and other texts are refused") {
    const auto digest = digest_of("key");
    CHECK(parse_key_digest(to_string(digest)) == digest);
    CHECK(to_string(digest_of("")) == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    CHECK_FALSE(parse_key_digest(to_string(digest).substr(1)));
    CHECK_FALSE(parse_key_digest(std::string(64, 'g')));
}

} // namespace monsoonlift::accounts
