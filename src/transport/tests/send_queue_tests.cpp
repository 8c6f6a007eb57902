#include "transport/internal/send_queue.h"

#include "transport/frame_codec.h"
#include "transport/internal/framing.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::transport;
using namespace monsoonlift::transport::internal;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time start{1h};

outgoing_frame numbered(std::uint64_t call, core::steady_time now) {
    frame message;
    message.attempt = {{1}, call, 0};
    request_head head;
    head.context.deadline = now + 3s;
    message.payload = std::move(head);
    outgoing_frame added;
    added.bytes = with_prefix(encode(message, now));
    added.attempt = message.attempt;
    added.encoded = now;
    added.expires = now + default_queue_time;
    return added;
}

/// Writes the next frame whole and returns its call number; 0 if there is none.
std::uint64_t write_next(send_queue& queue, core::steady_time now) {
    const auto bytes = queue.next_bytes(now);
    if (bytes.empty()) {
        return 0;
    }
    const auto message = decode(bytes.substr(prefix_bytes), now);
    REQUIRE(message);
    queue.wrote(bytes.size(), now);
    return message->attempt.call;
}

std::vector<std::uint64_t> calls_of(const std::vector<outgoing_frame>& frames) {
    std::vector<std::uint64_t> calls;
    for (const auto& one : frames) {
        calls.push_back(one.attempt.call);
    }
    return calls;
}

} // namespace

TEST_CASE("frames written shortly before a connection breaks are written again under their numbers",
          "[send_queue]") {
    send_queue queue({});
    for (std::uint64_t call = 1; call <= 4; ++call) {
        queue.add(numbered(call, start));
    }
    REQUIRE(write_next(queue, start) == 1);
    REQUIRE(write_next(queue, start + 3s) == 2);
    REQUIRE(write_next(queue, start + 3s) == 3);
    queue.rewind(start + 4s);
    REQUIRE(queue.first_sequence() == 2);
    for (std::uint64_t call = 2; call <= 4; ++call) {
        REQUIRE(write_next(queue, start + 4s) == call);
    }
    queue.rewind(start + 4s);
    REQUIRE(queue.first_sequence() == 2);
    REQUIRE(write_next(queue, start + 4s) == 2);
}

TEST_CASE("a frame written in part is written again whole", "[send_queue]") {
    send_queue queue({});
    queue.add(numbered(1, start));
    queue.wrote(queue.next_bytes(start).size() - 1, start);
    queue.rewind(start);
    REQUIRE(queue.first_sequence() == 1);
    REQUIRE_FALSE(decode(queue.next_bytes(start).substr(prefix_bytes), start)->rewritten);
    REQUIRE(write_next(queue, start) == 1);
}

TEST_CASE("only a frame that the peer can't have received is reported when it expires", "[send_queue]") {
    send_queue queue({});
    for (std::uint64_t call = 1; call <= 3; ++call) {
        queue.add(numbered(call, start));
    }
    REQUIRE(write_next(queue, start) == 1);
    queue.wrote(queue.next_bytes(start).size() - 1, start);
    queue.rewind(start);
    const auto late = queue.expire(start + 2s);
    REQUIRE(calls_of(late) == std::vector<std::uint64_t>{2, 3});
    REQUIRE(late[0].progress == write_progress::begun);
    REQUIRE(late[1].progress == write_progress::none);
    REQUIRE(queue.first_sequence() == 2);
    REQUIRE(queue.is_empty());
}

TEST_CASE("a frame waits as long as it says, and others don't wait for it", "[send_queue]") {
    send_queue queue({});
    auto patient = numbered(1, start);
    patient.expires = start + 3s;
    queue.add(std::move(patient));
    queue.add(numbered(2, start));
    REQUIRE(calls_of(queue.expire(start + 300ms)) == std::vector<std::uint64_t>{2});
    REQUIRE(queue.expire(start + 3s).empty());
    REQUIRE(calls_of(queue.expire(start + 3s + 1ms)) == std::vector<std::uint64_t>{1});
}

TEST_CASE("frames keep their numbers though earlier ones expire while a connection accepts bytes slowly",
          "[send_queue]") {
    send_limits limits;
    limits.max_admitted = 1;
    send_queue queue(limits);
    for (std::uint64_t call = 1; call <= 3; ++call) {
        queue.add(numbered(call, start));
        REQUIRE(write_next(queue, start) == call);
    }
    queue.rewind(start);
    auto sequence = queue.begin_connection() - 1;
    REQUIRE(write_next(queue, start) == ++sequence);
    const auto late = start + 1500ms;
    REQUIRE(queue.expire(late).empty());
    queue.add(numbered(4, late));
    while (const auto call = write_next(queue, late)) {
        REQUIRE(call == ++sequence);
    }
    REQUIRE(sequence == 4);
}

TEST_CASE("kept frames are bounded in bytes and in time", "[send_queue]") {
    const auto one = numbered(1, start).bytes.size();
    send_limits limits;
    limits.max_kept_bytes = 2 * one;
    send_queue queue(limits);
    for (std::uint64_t call = 1; call <= 5; ++call) {
        queue.add(numbered(call, start));
        REQUIRE(write_next(queue, start) == call);
    }
    REQUIRE(queue.first_sequence() == 4);
    REQUIRE(queue.expire(start + 3s).empty());
    REQUIRE(queue.first_sequence() == 6);
    REQUIRE(queue.is_empty());
}

TEST_CASE("a frame that was held up says so, once, each time it is written", "[send_queue]") {
    send_queue queue({});
    queue.add(numbered(1, start));
    REQUIRE(write_next(queue, start + 100ms) == 1);
    queue.rewind(start + 400ms);
    const auto bytes = queue.next_bytes(start + 500ms);
    const auto message = decode(bytes.substr(prefix_bytes), start + 500ms);
    REQUIRE(message);
    REQUIRE(std::get<request_head>(message->payload).context.deadline == start + 3s);
    REQUIRE(message->rewritten);
}
