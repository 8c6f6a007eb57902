#include "entry/internal/routing_state.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>

using namespace monsoonlift;
using namespace monsoonlift::entry::internal;
using namespace std::chrono_literals;

namespace {

const core::steady_time now{1h};
const std::string service = "notes";
const std::string kind = "read-note";

core::call_context context_without_budget() {
    core::call_context context;
    context.deadline = now + 10s;
    context.depth = 2;
    context.attempts_left = 0;
    return context;
}

} // namespace

TEST_CASE("a kind of call counts as making no calls before that is known, or though it makes some",
          "[leaf_retry]") {
    routing_state routes(true, "palermo", 1, 10, 10);
    CHECK_FALSE(routes.is_leaf(kind));
    routes.record_nested_calls(kind, 0);
    CHECK(routes.is_leaf(kind));
    routes.record_nested_calls(kind, 1);
    routes.record_nested_calls(kind, 0);
    CHECK_FALSE(routes.is_leaf(kind));
    routing_state undecided(false, "palermo", 1, 10, 10);
    undecided.record_nested_calls(kind, 0);
    CHECK_FALSE(undecided.is_leaf(kind));
}

TEST_CASE("a refused call that makes none of its own is given up for want of the root call's budget",
          "[leaf_retry]") {
    routing_state routes(true, "palermo", 1, 10, 10);
    const budgeted_call call{service, {3, 2, false}};
    auto context = context_without_budget();
    CHECK_FALSE(routes.next_attempt(context, {}, call, now));
    CHECK(routes.next_leaf_attempt(context, {}, call, now));
}

TEST_CASE("trouble at one service uses up the retries at another", "[leaf_retry]") {
    routing_state routes(true, "palermo", 1, 10, 10);
    const std::string other = "maps";
    const auto context = context_without_budget();
    const budgeted_call call{service, {3, 2, false}};
    while (routes.may_retry_leaf(call)) {
        static_cast<void>(routes.next_leaf_attempt(context, {}, call, now));
    }
    CHECK(routes.next_leaf_attempt(context, {}, {other, {3, 2, false}}, now));
}

TEST_CASE("calls of runs that are repeats earn retries at the service that they call", "[leaf_retry]") {
    routing_state routes(true, "palermo", 1, 10, 10);
    const budgeted_call repeated{service, {1, 0, true}};
    for (int sent = 0; sent < 10; ++sent) {
        routes.record_sent({}, true, repeated, now);
    }
    CHECK_FALSE(routes.may_retry_leaf({service, {5, 4, false}}));
}
