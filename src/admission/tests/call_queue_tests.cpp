#include "admission/call_queue.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::admission;
using namespace std::chrono_literals;
using monsoonlift::core::steady_time;

namespace {

const steady_time start{1h};

waiting_call call(std::uint64_t ticket, std::uint8_t rank, steady_time arrived = start,
                  std::chrono::milliseconds patience = 1s) {
    return {ticket, rank, 0, arrived, arrived + patience};
}

call_queue queue_of(queue_order order, const std::vector<waiting_call>& calls) {
    call_queue queue;
    queue.order = order;
    for (const auto& waiting : calls) {
        REQUIRE(push(queue, waiting, waiting.arrived).refused.empty());
    }
    return queue;
}

} // namespace

TEST_CASE("a call runs before waiting calls of a more preferred class", "[call_queue]") {
    auto queue = queue_of(queue_order::adaptive, {call(1, 2), call(2, 0), call(3, 1)});
    for (const std::uint64_t ticket : {2, 3, 1}) {
        REQUIRE(pop(queue, 1ms, start).next->ticket == ticket);
    }
    REQUIRE_FALSE(pop(queue, 1ms, start).next.has_value());
    REQUIRE(queue.length == 0);
}

TEST_CASE("the queue order is ignored within a class", "[call_queue]") {
    struct order_case {
        queue_order order;
        std::chrono::milliseconds now; ///< Time since the first call arrived.
        std::uint64_t next;
    };
    const order_case cases[] = {
        {queue_order::first_come, 90ms, 1},        {queue_order::last_come, 20ms, 3},
        {queue_order::adaptive, 20ms, 1},          {queue_order::adaptive, 90ms, 3},
        {queue_order::earliest_deadline, 20ms, 2},
    };
    for (const auto& tried : cases) {
        auto queue =
            queue_of(tried.order, {call(1, 0), call(2, 0, start + 5ms, 300ms), call(3, 0, start + 10ms)});
        REQUIRE(pop(queue, 1ms, start + tried.now).next->ticket == tried.next);
    }
}

TEST_CASE("an adaptive queue switches to last come too early when runs are long", "[call_queue]") {
    auto queue = queue_of(queue_order::adaptive, {call(1, 0, start, 5s), call(2, 0, start + 10ms, 5s)});
    REQUIRE(pop(queue, 1s, start + 240ms).next->ticket == 1);
    queue = queue_of(queue_order::adaptive, {call(1, 0, start, 5s), call(2, 0, start + 10ms, 5s)});
    REQUIRE(pop(queue, 1s, start + 260ms).next->ticket == 2);
}

TEST_CASE("a full queue refuses a call that is preferred over one that it keeps", "[call_queue]") {
    struct full_case {
        std::uint8_t rank;
        std::uint64_t refused;
    };
    const full_case cases[] = {{0, 2}, {1, 2}, {2, 9}, {3, 9}};
    for (const auto& tried : cases) {
        auto queue = queue_of(queue_order::adaptive, {call(1, 1), call(2, 2)});
        queue.max_length = 2;
        const auto outcome = push(queue, call(9, tried.rank), start);
        REQUIRE(outcome.refused.size() == 1);
        REQUIRE(outcome.refused.front().ticket == tried.refused);
        REQUIRE(queue.length == 2);
    }
}

TEST_CASE("calls that cannot finish in time keep waiting, or calls that can are refused", "[call_queue]") {
    struct expiry_case {
        std::chrono::milliseconds now;
        std::chrono::milliseconds patience;
        std::chrono::milliseconds typical_service;
        bool refused;
    };
    const expiry_case cases[] = {
        {10ms, 1000ms, 20ms, false},
        {10ms, 25ms, 20ms, true},    // the deadline is before the expected end of the run
        {101ms, 1000ms, 20ms, true}, // waited longer than max_wait (100 ms)
        {100ms, 1000ms, 20ms, false},
        {30ms, 25ms, 0ms, true}, // the deadline has passed
        {499ms, 5000ms, 1000ms, false},
        {501ms, 5000ms, 1000ms, true}, // long runs: waited longer than half the service time
        {499ms, 1400ms, 1000ms, true}, // waited less than that, but the run would end after the deadline
    };
    for (const auto& tried : cases) {
        auto queue = queue_of(queue_order::adaptive, {call(1, 0, start, tried.patience)});
        const auto expired = expire(queue, tried.typical_service, start + tried.now);
        REQUIRE(expired.refused.size() == (tried.refused ? 1 : 0));
        REQUIRE(pop(queue, tried.typical_service, start + tried.now).next.has_value() != tried.refused);
    }
}

TEST_CASE("a cancelled call stays in the queue or is removed twice", "[call_queue]") {
    auto queue = queue_of(queue_order::adaptive, {call(1, 1), call(2, 2)});
    REQUIRE(remove(queue, 2));
    REQUIRE_FALSE(remove(queue, 2));
    REQUIRE(queue.length == 1);
}

namespace {

waiting_call positioned(std::uint64_t ticket, std::uint32_t position, std::uint32_t depth,
                        std::uint32_t work_spent = 0) {
    monsoonlift::core::call_context context;
    context.position = position;
    context.depth = depth;
    context.work_spent = work_spent;
    return {ticket, 0, depth, start, start + 1s, order_of(context)};
}

} // namespace

TEST_CASE("hops start calls of different root calls under overload", "[call_queue]") {
    // Root calls 1 and 4, first nested calls 2 and 5, and calls 3 and 6 that continue a chain.
    auto queue = queue_of(queue_order::by_position,
                          {positioned(1, 3, 0), positioned(2, 90, 1), positioned(3, 120, 1, 1),
                           positioned(4, 2, 0), positioned(5, 7, 1), positioned(6, 120, 1, 7)});
    for (const std::uint64_t ticket : {6, 3, 5, 2, 4, 1}) {
        REQUIRE(pop(queue, 1ms, start).next->ticket == ticket);
    }
}

TEST_CASE("calls that the threshold refuses wait until their time is over", "[call_queue]") {
    auto queue = queue_of(queue_order::by_position,
                          {positioned(1, 3, 0), positioned(2, 90, 1), positioned(3, 120, 1, 1)});
    const auto refused = shed(queue, {0, 60}).refused;
    REQUIRE(refused.size() == 2);
    REQUIRE(queue.length == 1);
    REQUIRE(pop(queue, 1ms, start).next->ticket == 3);
}

TEST_CASE("a full queue keeps a call of high position instead of one of low position", "[call_queue]") {
    auto queue = queue_of(queue_order::by_position, {positioned(1, 3, 1), positioned(2, 90, 1)});
    queue.max_length = 2;
    REQUIRE(push(queue, positioned(3, 10, 1), start).refused.front().ticket == 2);
    REQUIRE(push(queue, positioned(4, 100, 1), start).refused.front().ticket == 4);
}

TEST_CASE("a first nested call waits until half of its time is over", "[call_queue]") {
    auto queue = queue_of(queue_order::by_position, {positioned(1, 3, 1), positioned(2, 90, 1, 2)});
    const auto refused = expire(queue, 1ms, start + 150ms).refused;
    REQUIRE(refused.size() == 1);
    REQUIRE(refused.front().ticket == 1);
}
