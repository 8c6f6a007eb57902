#include "transfer/folded_line.h"

#include <catch2/catch.hpp>

#include <string_view>

using namespace monsoonlift::transfer;

TEST_CASE("a line that goes on in the next one is found in a head, and nowhere else", "[transfer]") {
    struct head_case {
        std::string_view bytes;
        bool is_folded;
    };
    const head_case cases[] = {
        {"", false},
        {"A: b\r\n", false},
        {"A: b\r\n ", true},
        {"A: b\r\n\tc\r\n\r\n", true},
        {"A: b\r\n \r\n\r\n", true},
        {"A:\r\n b\r\n\r\n", true},
        {"A: b \r\nC:\td\r\n\r\n", false},
        {"A: b\r\n\r\n c", false},
        {"A: b\r\n\r\n\r\n c", false},
        {"\r\n c\r\n d", false},
    };
    for (const auto& test_case : cases) {
        CAPTURE(test_case.bytes);
        CHECK(has_folded_line(test_case.bytes) == test_case.is_folded);
    }
}
