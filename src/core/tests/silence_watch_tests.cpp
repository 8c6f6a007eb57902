#include "core/silence_watch.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace monsoonlift::core;
using namespace std::chrono_literals;

namespace {

/// What happens, in milliseconds since the start: looks every 500 ms but in the pause, heard every 1,000 ms
/// until `last_heard`.
struct silence_case {
    const char* what;
    int last_heard;
    int pause_from; ///< No look after this time ...
    int pause_to;   ///< ... and before this one.
    int gone_at;    ///< First look that calls it silent; 0 for none until 20,000.
};

} // namespace

TEST_CASE("silence is told after the patience, and not of the watcher's own pause", "[silence_watch]") {
    const silence_case cases[] = {
        {"heard until the end", 20'000, 0, 0, 0},
        {"silent from 5,000 on", 5'000, 0, 0, 8'500},
        {"never heard", 0, 0, 0, 3'500},
        {"the watcher paused for 4 s, then heard again", 20'000, 6'000, 10'000, 0},
        {"the watcher paused for 4 s, and then nothing", 6'000, 6'000, 10'000, 13'500},
        {"a pause shorter than a third of the patience", 5'000, 6'000, 7'000, 8'500},
        {"silent before the watcher paused", 5'000, 8'000, 12'000, 15'500},
    };
    for (const auto& wanted : cases) {
        CAPTURE(wanted.what);
        silence_watch watch(3'000ms);
        const steady_time start{1h};
        int gone_at = 0;
        for (int now = 0; now <= 20'000 && gone_at == 0; now += 500) {
            const auto moment = start + std::chrono::milliseconds(now);
            const bool paused = now > wanted.pause_from && now < wanted.pause_to;
            if (paused) {
                continue;
            }
            if (now % 1'000 == 0 && now <= wanted.last_heard) {
                watch.heard(moment);
            }
            gone_at = watch.look(moment) ? now : 0;
        }
        CHECK(gone_at == wanted.gone_at);
    }
}
