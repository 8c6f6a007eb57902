#include "transport/frame_codec.h"

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

} // namespace

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
