#include "transfer/body_receiver.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::transfer;
using transport::body_chunk;

TEST_CASE("credit is granted again each time half of the window has been consumed", "[transfer]") {
    body_receiver receiver(4);
    REQUIRE(receiver.first_credit() == 4);
    std::uint64_t offset = 0;
    std::vector<std::uint32_t> credits;
    for (int index = 0; index < 6; ++index) {
        REQUIRE(receiver.accept({offset, "abc"}));
        offset += 3;
        credits.push_back(receiver.consumed());
    }
    REQUIRE(credits == std::vector<std::uint32_t>{0, 2, 0, 2, 0, 2});
}

TEST_CASE("a duplicate, out-of-order, empty or oversized chunk is refused", "[transfer]") {
    struct fault {
        const char* what;
        body_chunk chunk;
    };
    const fault cases[] = {
        {"doubled", {0, "ab"}},
        {"a gap", {5, "ab"}},
        {"empty", {2, ""}},
        {"too large", {2, std::string(1024 * 1024 + 1, 'x')}},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        body_receiver receiver(8);
        static_cast<void>(receiver.first_credit());
        REQUIRE(receiver.accept({0, "ab"}));
        REQUIRE_FALSE(receiver.accept(test_case.chunk));
    }
}

TEST_CASE("chunks beyond the credit are refused", "[transfer]") {
    body_receiver receiver(2);
    REQUIRE_FALSE(receiver.accept({0, "a"}));
    static_cast<void>(receiver.first_credit());
    REQUIRE(receiver.accept({0, "a"}));
    REQUIRE(receiver.accept({1, "b"}));
    REQUIRE_FALSE(receiver.accept({2, "c"}));
}

TEST_CASE("a truncated, extended or corrupted body is not complete", "[transfer]") {
    body_receiver receiver(4);
    receiver.begin("head ");
    static_cast<void>(receiver.first_credit());
    REQUIRE(receiver.accept({5, "tail"}));
    REQUIRE(receiver.is_complete(total_of("head tail")));
    REQUIRE_FALSE(receiver.is_complete(total_of("head tai")));
    REQUIRE_FALSE(receiver.is_complete(total_of("head tail.")));
    REQUIRE_FALSE(receiver.is_complete(total_of("head tajl")));
}
