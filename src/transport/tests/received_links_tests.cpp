#include "transport/internal/received_links.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::transport::internal;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time start{1h};

std::vector<std::uint64_t> handled(received_link& link, std::uint64_t first, std::uint64_t last) {
    std::vector<std::uint64_t> taken;
    for (auto sequence = first; sequence <= last; ++sequence) {
        REQUIRE(link.handle_once(sequence, [&] {
            taken.push_back(sequence);
            return true;
        }));
    }
    return taken;
}

} // namespace

TEST_CASE("frames that arrive on a second connection too are handled once", "[received_links]") {
    received_links links;
    const auto first = links.open({7}, 1, start);
    REQUIRE(handled(*first, 1, 3) == std::vector<std::uint64_t>{1, 2, 3});
    const auto second = links.open({7}, 1, start);
    REQUIRE(handled(*second, 2, 5) == std::vector<std::uint64_t>{4, 5});
    REQUIRE(handled(*first, 4, 4).empty());
    REQUIRE(first->repeated() == 3);
}

// Guards against requests and answers lost without a word: unread on a connection that a paused peer hasn't
// read while the sender, which may hold no more of them, has begun another one (LOST).
TEST_CASE("frames on an earlier connection are handled though a later connection was read first",
          "[received_links]") {
    received_link link;
    CHECK(handled(link, 1, 3).size() == 3);
    CHECK(handled(link, 20, 22).size() == 3);
    CHECK(handled(link, 4, 10) == std::vector<std::uint64_t>{4, 5, 6, 7, 8, 9, 10});
    CHECK(handled(link, 2, 12) == std::vector<std::uint64_t>{11, 12});
    CHECK(handled(link, 15, 15).size() == 1);
    CHECK(handled(link, 13, 24) == std::vector<std::uint64_t>{13, 14, 16, 17, 18, 19, 23, 24});
    CHECK(handled(link, 1, 24).empty());
}

TEST_CASE("the missing frames that a link remembers are bounded", "[received_links]") {
    received_link link;
    constexpr std::uint64_t connections = 1'000;
    for (std::uint64_t connection = 1; connection <= connections; ++connection) {
        CHECK(handled(link, connection * 10, connection * 10).size() == 1);
    }
    CHECK(handled(link, 1, 9).empty());
    CHECK(handled(link, connections * 10 - 9, connections * 10 - 1).size() == 9);
}

TEST_CASE("links of another number or another incarnation are counted apart", "[received_links]") {
    received_links links;
    REQUIRE(handled(*links.open({7}, 1, start), 1, 2).size() == 2);
    REQUIRE(handled(*links.open({7}, 2, start), 1, 2).size() == 2);
    REQUIRE(handled(*links.open({8}, 1, start), 1, 2).size() == 2);
    REQUIRE(handled(*links.open({7}, 1, start), 1, 2).empty());
}

TEST_CASE("a link is remembered while a connection uses it and some time after", "[received_links]") {
    received_links links;
    auto used = links.open({7}, 1, start);
    REQUIRE(handled(*used, 1, 2).size() == 2);
    for (int minute = 1; minute <= 5; ++minute) {
        static_cast<void>(links.open({9}, 1, start + std::chrono::minutes(minute)));
    }
    used.reset();
    REQUIRE(handled(*links.open({7}, 1, start + 6min), 1, 2).empty());
    static_cast<void>(links.open({9}, 1, start + 7min));
    static_cast<void>(links.open({9}, 1, start + 8min));
    REQUIRE(handled(*links.open({7}, 1, start + 9min), 1, 2).size() == 2);
}
