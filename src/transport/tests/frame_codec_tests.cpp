#include "transport/frame_codec.h"

#include "testing/allocation_count.h"
#include "transport/proto/frames.pb.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::transport;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time now{1h};

frame sample(decltype(frame::payload) payload) {
    frame message;
    message.receiver = {7};
    message.sender = {8};
    message.attempt = {{8}, 41, 2};
    message.payload = std::move(payload);
    return message;
}

request_head sample_request() {
    request_head head;
    head.reply_address = "127.0.0.1:7000";
    head.context.rank = 3;
    head.context.deadline = now + 250ms;
    head.context.attempts_left = 2;
    head.context.key = "k";
    head.service = "squadre";
    head.method = "POST";
    head.target = "/dispatches?x=%ff";
    head.headers = {{"X-Bytes", std::string("\xff\x01", 2)}};
    head.body = std::string("\0body", 5);
    head.total = body_total{5, 99};
    return head;
}

attempt_end sample_end() {
    attempt_end end;
    end.run = core::verdict::ran;
    end.reason = end_reason::quarantined;
    end.detail = "a text that needs memory of its own";
    end.retry_after = 40ms;
    end.nested_attempts = 0;
    end.load = routing::load_report{{3, 200}, 70'000, 0, 4};
    end.nested_level = {2, 0};
    end.service_time = 3s;
    end.home = {"127.0.0.1:7001", {std::uint64_t(1) << 63}};
    end.homes_version = 300;
    end.successor_of = {6};
    return end;
}

request_head sample_full_request() {
    auto head = sample_request();
    head.gate_address = "127.0.0.1:7002";
    head.context.root.bytes.fill(200);
    head.context.depth = 2;
    head.context.caller = "a client account with a long name";
    head.context.idempotent = true;
    head.headers.assign(10, {"X-A-Header-With-A-Long-Name", "and a value that is not short either"});
    head.expires = core::wall_time(90min);
    head.homes_version = 128;
    return head;
}

response_head sample_response() {
    response_head head{200, "OK", {{"Content-Type", "application/octet-stream"}, {"", ""}}, "body", {}, {}};
    head.total = body_total{0, 0};
    head.end = sample_end();
    return head;
}

} // namespace

TEST_CASE("frames are encoded as the generated classes of the schema encode them", "[transport]") {
    using payload = decltype(frame::payload);
    const std::pair<const char*, payload> cases[] = {
        {"request", sample_full_request()},
        {"request without options", request_head()},
        {"response", sample_response()},
        {"response without options", response_head()},
        {"chunk", body_chunk{1 << 20, "data"}},
        {"end", body_end{{5, 99}, sample_end()}},
        {"end of a request", body_end{{0, 0}, std::nullopt}},
        {"credit", credit{128}},
        {"cancel", cancel{}},
        {"failure", sample_end()},
        {"failure without options", attempt_end()},
        {"opening", link_opening{std::uint64_t(1) << 63, 1}},
        {"query", status_query{}},
        {"in progress", status_in_progress{}},
    };
    for (const auto& [what, one] : cases) {
        INFO(what);
        const auto bytes = encode(sample(one), now);
        wire::frame parsed;
        REQUIRE(parsed.ParseFromString(bytes));
        REQUIRE(parsed.SerializeAsString() == bytes);
        parsed.DiscardUnknownFields();
        REQUIRE(parsed.SerializeAsString() == bytes);
        const auto read = decode(bytes, now);
        REQUIRE(read);
        REQUIRE(encode(*read, now) == bytes);
    }
}

TEST_CASE("an encoded frame leaves room before it", "[transport]") {
    const auto message = sample(sample_full_request());
    REQUIRE(encode(message, now, 4) == std::string(4, '\0') + encode(message, now));
}

TEST_CASE("encoding a frame allocates little but its bytes and copies of its long texts", "[transport]") {
    const auto message = sample(sample_full_request());
    const auto before = testing::allocations;
    const auto bytes = encode(message, now, 4);
    const auto made = testing::allocations - before;
    const auto header_texts = 2 * 10;
    const auto other_long_texts = 3; // caller, target and root
    REQUIRE(made <= header_texts + other_long_texts + 1);
}

TEST_CASE("decoding a frame allocates little but its long texts", "[transport]") {
    const auto bytes = encode(sample(sample_full_request()), now);
    const auto before = testing::allocations;
    const auto read = decode(bytes, now);
    const auto made = testing::allocations - before;
    REQUIRE(read);
    const auto header_texts = 2 * 10;
    const auto other_long_texts = 3; // caller, target and root
    const auto header_lists = 1;
    REQUIRE(made <= header_texts + other_long_texts + header_lists);
}

TEST_CASE("a request is unchanged by encoding and decoding, and its deadline is sent as time left",
          "[transport]") {
    const auto bytes = encode(sample(sample_request()), now);
    const auto later = now + 10s;
    const auto read = decode(bytes, later);
    REQUIRE(read);
    REQUIRE(read->receiver.value == 7);
    REQUIRE(read->attempt == core::attempt_id{{8}, 41, 2});
    const auto& head = std::get<request_head>(read->payload);
    REQUIRE(head.context.deadline == later + 250ms);
    REQUIRE(head.context.attempts_left == 2);
    REQUIRE(head.headers[0].value == std::string("\xff\x01", 2));
    REQUIRE(head.body == std::string("\0body", 5));
    REQUIRE(head.total->digest == 99);
}

TEST_CASE("an attempt end distinguishes unknown nested attempts from zero", "[transport]") {
    attempt_end end;
    end.run = core::verdict::not_run;
    end.reason = end_reason::shed;
    end.retry_after = 40ms;
    const auto unknown = decode(encode(sample(end), now), now);
    REQUIRE_FALSE(std::get<attempt_end>(unknown->payload).nested_attempts);
    REQUIRE_FALSE(std::get<attempt_end>(unknown->payload).nested_calls);
    end.nested_attempts = 0;
    end.nested_calls = 5;
    const auto known = decode(encode(sample(end), now), now);
    const auto& read = std::get<attempt_end>(known->payload);
    REQUIRE(read.nested_attempts == 0U);
    REQUIRE(read.nested_calls == 5U);
    REQUIRE(read.retry_after == 40ms);
    REQUIRE(read.run == core::verdict::not_run);
}

TEST_CASE("corrupt bytes are not decoded as a frame", "[transport]") {
    const auto whole = encode(sample(sample_request()), now);
    struct corruption {
        const char* what;
        std::string bytes;
    };
    auto wrong_version = whole;
    wrong_version[1] = 9;
    const corruption cases[] = {
        {"nothing", ""},
        {"text", "GET / HTTP/1.1\r\n\r\n"},
        {"cut short", whole.substr(0, whole.size() - 3)},
        {"another version", wrong_version},
        {"no payload", whole.substr(0, 2)},
    };
    for (const auto& one : cases) {
        INFO(one.what);
        REQUIRE_FALSE(decode(one.bytes, now));
    }
}
