#include "transport/internal/framing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace monsoonlift::transport::internal;

namespace {

/// Returns the frames that are split off if `bytes` arrive in pieces of `step` bytes.
std::vector<std::string> split(frame_splitter& frames, std::string_view bytes, std::size_t step) {
    std::vector<std::string> seen;
    while (!bytes.empty()) {
        const auto space = frames.space();
        const auto size = std::min({step, space.size(), bytes.size()});
        std::copy_n(bytes.begin(), size, space.begin());
        frames.filled(size);
        bytes.remove_prefix(size);
        while (const auto frame = frames.next()) {
            seen.emplace_back(*frame);
        }
    }
    return seen;
}

} // namespace

TEST_CASE("frames are reassembled from pieces of any size", "[transport]") {
    const std::vector<std::string> sent{
        "a", "", std::string(70'000, 'b'), "c", std::string(max_frame_bytes, 'd'), "e"};
    std::string bytes;
    for (const auto& frame : sent) {
        bytes += with_prefix(frame);
    }
    const std::size_t step = GENERATE(1, 3, 4, 5, 1'000, 16'384, 100'000, 10'000'000);
    CAPTURE(step);
    frame_splitter frames;
    REQUIRE(split(frames, bytes, step) == sent);
    REQUIRE_FALSE(frames.is_over_long());
}

TEST_CASE("no frame is returned after a length prefix beyond the maximum", "[transport]") {
    const std::string prefix = GENERATE(as<std::string>{}, std::string("\x00\x20\x00\x01", prefix_bytes),
                                        "\xff\xff\xff\xff", "garbage");
    frame_splitter frames;
    REQUIRE(split(frames, with_prefix("whole") + prefix, 1'000) == std::vector<std::string>{"whole"});
    REQUIRE(frames.is_over_long());
    REQUIRE(split(frames, with_prefix("late"), 1'000).empty());
}
