#include "execution/types/execution_key.h"

#include "execution/types/request_fingerprint.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::execution;
using monsoonlift::core::endpoint_id;
using monsoonlift::core::wall_time;
using namespace std::chrono_literals;

namespace {

const endpoint_id gate{"10.0.0.1:7000", {42}};
constexpr wall_time issued{1'700'000'000'123ms};

} // namespace

TEST_CASE("keys are classified as opaque or dated", "[execution_key]") {
    struct row {
        const char* text;
        key_kind kind;
        bool has_date;
    };
    const auto cases = std::to_array<row>({
        {"dispatch-4711", key_kind::opaque, false},
        {"018bcfe5-687b-7000-8000-000000000001", key_kind::dated, true},
        {"018BCFE5-687B-7000-B000-000000000001", key_kind::dated, true},
        {"018bcfe5-687b-4000-8000-000000000001", key_kind::opaque, false}, // UUID version 4
        {"018bcfe5-687b-7000-c000-000000000001", key_kind::opaque, false}, // UUID of another variant
        {"018bcfe5+687b-7000-8000-000000000001", key_kind::opaque, false},
        {"018bcfe5-687b-7000-8000-00000000000g", key_kind::opaque, false},
    });
    for (const row& one : cases) {
        const auto key = parse_key(one.text);
        INFO(one.text);
        REQUIRE(key.has_value());
        CHECK(key->kind == one.kind);
        CHECK(key->issued.has_value() == one.has_date);
    }
    CHECK(parse_key("018bcfe5-687b-7000-8000-000000000001")->issued == issued);
}

TEST_CASE("a permit contains its gate and time of issue, is unique and at most 128 bytes long",
          "[execution_key]") {
    const std::string text = make_permit(gate, {7}, 1, issued);
    const auto key = parse_key(text);
    REQUIRE(key.has_value());
    CHECK(key->kind == key_kind::permit);
    CHECK(key->gate == gate);
    CHECK(key->issued == issued);
    CHECK(text.size() <= 128);
    CHECK(
        make_permit({"[fe80:1234:5678:9abc:def0:1234:5678:9abc]:65535", {~0ULL}}, {~0ULL}, 1'000'000, issued)
            .size() <= 128);
    CHECK(make_permit(gate, {7}, 2, issued) != text);
    CHECK(make_permit(gate, {8}, 1, issued) != text);
}

TEST_CASE("truncated or altered permits are rejected", "[execution_key]") {
    const std::string whole = make_permit(gate, {7}, 1, issued);
    CHECK_FALSE(parse_key("permit/").has_value());
    CHECK_FALSE(parse_key("permit/10.0.0.1:7000").has_value());
    CHECK_FALSE(parse_key(whole.substr(0, whole.size() - 1)).has_value());
    for (std::size_t position = 7; position < whole.size(); ++position) {
        std::string damaged = whole;
        damaged[position] = damaged[position] == '1' ? '2' : '1';
        CHECK_FALSE(parse_key(damaged).has_value());
    }
}

TEST_CASE("a generated key is shared by the attempts of one call and equals no other call's or caller's key",
          "[execution_key]") {
    CHECK(key_of_attempt({{1}, 2, 0}).text == key_of_attempt({{1}, 2, 1}).text);
    CHECK(key_of_attempt({{1}, 2, 0}).text != key_of_attempt({{1}, 3, 0}).text);
    CHECK(key_of_attempt({{1}, 2, 0}).text != key_of_attempt({{2}, 2, 0}).text);
    CHECK(key_of_attempt({{1}, 2, 0}).text.front() < ' ');
}

TEST_CASE("a fingerprint differs if the service, method, target, caller or body differs", "[fingerprint]") {
    const fingerprint_source source{"squadre", "POST", "/dispatches", "mayor", "crew 7"};
    const auto original = make_fingerprint(source);
    CHECK(original == make_fingerprint(source));
    auto other = source;
    other.service = "archivio";
    CHECK(make_fingerprint(other) != original);
    other = source;
    other.method = "PUT";
    CHECK(make_fingerprint(other) != original);
    other = source;
    other.target = "/dispatches?x";
    CHECK(make_fingerprint(other) != original);
    other = source;
    other.caller = "citizen";
    CHECK(make_fingerprint(other) != original);
    other = source;
    other.body = "crew 8";
    CHECK(make_fingerprint(other) != original);
    other = {"squadre", "POST", "/dispatchesm", "ayor", "crew 7"};
    CHECK(make_fingerprint(other) != original);
}
