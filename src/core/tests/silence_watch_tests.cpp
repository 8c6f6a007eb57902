#include "core/silence_watch.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace monsoonlift::core;
using namespace std::chrono_literals;

namespace {

/// A scenario in milliseconds since the start: the watcher checks every 500 ms except during its pause, and
/// the peer sends a message every 1,000 ms until `last_heard`.
struct silence_case {
    const char* what;
    int last_heard;
    int pause_from; ///< The watcher does not check after this time ...
    int pause_to;   ///< ... and before this one.
    int gone_at;    ///< First check that reports silence; 0 if no check up to 20,000 does.
};

} // namespace

TEST_CASE("silence is reported late, or reported because the watcher itself was paused", "[silence_watch]") {
    const silence_case cases[] = {
        {"the peer sends until the end", 20'000, 0, 0, 0},
        {"the peer is silent after 5,000", 5'000, 0, 0, 8'500},
        {"the peer sends only at the start", 0, 0, 0, 3'500},
        {"the watcher is paused for 4 s, the peer keeps sending", 20'000, 6'000, 10'000, 0},
        {"the watcher is paused for 4 s, the peer is silent from then on", 6'000, 6'000, 10'000, 13'500},
        {"the watcher is paused for no longer than a third of the timeout", 5'000, 6'000, 7'000, 8'500},
        {"the peer falls silent before the watcher is paused", 5'000, 8'000, 12'000, 15'500},
    };
    for (const auto& scenario : cases) {
        CAPTURE(scenario.what);
        silence_watch watch(3'000ms);
        const steady_time start{1h};
        int gone_at = 0;
        for (int now = 0; now <= 20'000 && gone_at == 0; now += 500) {
            const auto moment = start + std::chrono::milliseconds(now);
            const bool paused = now > scenario.pause_from && now < scenario.pause_to;
            if (paused) {
                continue;
            }
            if (now % 1'000 == 0 && now <= scenario.last_heard) {
                watch.heard(moment);
            }
            gone_at = watch.look(moment) ? now : 0;
        }
        CHECK(gone_at == scenario.gone_at);
    }
}
