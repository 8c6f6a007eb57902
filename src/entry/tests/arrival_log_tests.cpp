// Guards against time limits that begin when a request's turn comes instead of when its head had arrived.
#include "entry/internal/arrival_log.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using entry::internal::arrival_log;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time start{1h};

} // namespace

TEST_CASE("bytes that were read when they arrived count from a later moment", "[arrival_log]") {
    arrival_log log;
    log.read(10, start);
    log.read(10, start + 1s);
    CHECK(log.consume(15, start + 5s) == start + 1s);
    CHECK(log.consume(5, start + 5s) == start + 1s);
}

TEST_CASE("bytes that waited in the socket count from the moment at which they were read", "[arrival_log]") {
    arrival_log log;
    log.seen(10, start);
    log.seen(10, start + 1s);
    log.seen(30, start + 2s);
    log.read(40, start + 3s);
    CHECK(log.consume(10, start + 5s) == start);
    CHECK(log.consume(20, start + 5s) == start + 2s);
    CHECK(log.consume(10, start + 5s) == start + 3s);
}

TEST_CASE("a body that was read leaves the arrivals of bytes that are gone", "[arrival_log]") {
    arrival_log log;
    log.seen(100, start);
    log.reset(5, start + 1s);
    log.read(5, start + 2s);
    CHECK(log.consume(5, start + 5s) == start + 1s);
    CHECK(log.consume(5, start + 5s) == start + 2s);
    CHECK(log.consume(5, start + 5s) == start + 5s);
}
