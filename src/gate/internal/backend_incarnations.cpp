#include "gate/backend_incarnations.h"

#include <algorithm>

namespace monsoonlift::gate {

namespace {

/// A few are enough: deregistrations at one address are seconds apart, and heartbeats are late by seconds.
constexpr std::size_t max_remembered_departures = 4;

void start_serving(backend_incarnations& lives) {
    lives.waiting_since.reset();
    lives.serves = true;
    lives.is_history_known = true;
}

void stop_serving(backend_incarnations& lives) {
    lives.waiting_since.reset();
    lives.serves = false;
}

bool is_confirmed(const backend_incarnations& lives, core::steady_time now) {
    return lives.waiting_since && now - *lives.waiting_since >= min_confirmation_time;
}

/// Returns the start time of the incarnation that deregisters; 0 if it is neither stated nor known.
std::uint64_t start_of(const backend_incarnations& lives, const core::departed_incarnation& leaving) {
    if (leaving.started_ms == 0 && lives.newest && lives.newest->id == leaving.id) {
        return lives.newest->started_ms;
    }
    return leaving.started_ms;
}

bool is_more_recent(const core::departed_incarnation& reported, const core::departed_incarnation& known) {
    const bool no_start_known = reported.started_ms == 0 && known.started_ms == 0;
    return no_start_known ? reported.received_ms > known.received_ms : reported.started_ms > known.started_ms;
}

/// Records the deregistration; false if it adds nothing to those known.
bool remember(backend_incarnations& lives, const core::departed_incarnation& leaving) {
    auto& departed = lives.departed;
    const auto known =
        std::find_if(departed.begin(), departed.end(),
                     [&](const core::departed_incarnation& departure) { return departure.id == leaving.id; });
    if (known != departed.end() && !is_more_recent(leaving, *known)) {
        return false;
    }
    if (known != departed.end()) {
        departed.erase(known);
    } else if (departed.size() == max_remembered_departures) {
        departed.erase(departed.begin());
    }
    departed.push_back(leaving);
    return true;
}

} // namespace

announcement_effect on_ready_heartbeat(backend_incarnations& lives, const announcement_position& offered,
                                       core::steady_time now) {
    if (has_left(lives.departed, offered) || is_superseded(lives.newest, offered)) {
        return announcement_effect::late;
    }
    const bool is_same = is_same_life(lives.newest, offered);
    lives.newest = offered;
    if (is_same && lives.serves) {
        return announcement_effect::again;
    }
    if (lives.is_history_known || (is_same && is_confirmed(lives, now))) {
        start_serving(lives);
        return announcement_effect::opens;
    }
    if (!is_same || !lives.waiting_since) {
        lives.waiting_since = now;
    }
    lives.serves = false;
    return announcement_effect::waits;
}

announcement_effect on_draining_heartbeat(backend_incarnations& lives, const announcement_position& offered,
                                          std::uint64_t received_ms) {
    const bool is_late = is_superseded(lives.newest, offered);
    if (is_late && lives.newest->id == offered.id) {
        return announcement_effect::late;
    }
    if (!is_late) {
        lives.newest = offered;
    }
    return on_deregistration(lives, {offered.id, offered.started_ms, received_ms});
}

announcement_effect on_deregistration(backend_incarnations& lives,
                                      const core::departed_incarnation& leaving) {
    const core::departed_incarnation known{leaving.id, start_of(lives, leaving), leaving.received_ms};
    const bool is_new = remember(lives, known);
    if (is_late_deregistration(lives.newest, known)) {
        return announcement_effect::late;
    }
    if (!is_new) {
        return announcement_effect::again;
    }
    stop_serving(lives);
    return announcement_effect::leaves;
}

announcement_effect add_earlier_deregistrations(backend_incarnations& lives,
                                                const std::vector<core::departed_incarnation>& departed) {
    lives.is_history_known = true;
    for (const auto& departure : departed) {
        static_cast<void>(remember(lives, departure));
    }
    if (lives.newest && has_left(lives.departed, *lives.newest)) {
        const bool served = lives.serves;
        stop_serving(lives);
        return served ? announcement_effect::leaves : announcement_effect::again;
    }
    if (lives.waiting_since) {
        start_serving(lives);
        return announcement_effect::opens;
    }
    return announcement_effect::again;
}

} // namespace monsoonlift::gate
