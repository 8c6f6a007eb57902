#include "gate/backend_lives.h"

#include <algorithm>

namespace monsoonlift::gate {

namespace {

/// A few are enough: deregistrations at one address are seconds apart, and heartbeats are late by seconds.
constexpr std::size_t most_remembered = 4;

void serve(backend_lives& lives) {
    lives.waits_since.reset();
    lives.serves = true;
    lives.is_past_settled = true;
}

void shut(backend_lives& lives) {
    lives.waits_since.reset();
    lives.serves = false;
}

bool has_proved_life(const backend_lives& lives, core::steady_time now) {
    return lives.waits_since && now - *lives.waits_since >= proof_of_life;
}

/// Returns the start time of the incarnation that deregisters; 0 if it is neither stated nor known.
std::uint64_t start_of(const backend_lives& lives, const core::departed_life& leaving) {
    if (leaving.started_ms == 0 && lives.newest && lives.newest->id == leaving.id) {
        return lives.newest->started_ms;
    }
    return leaving.started_ms;
}

bool says_more(const core::departed_life& told, const core::departed_life& known) {
    const bool neither_tells = told.started_ms == 0 && known.started_ms == 0;
    return neither_tells ? told.heard_ms > known.heard_ms : told.started_ms > known.started_ms;
}

/// Records the deregistration; false if it adds nothing to those known.
bool remember(backend_lives& lives, const core::departed_life& leaving) {
    auto& departed = lives.departed;
    const auto known = std::find_if(departed.begin(), departed.end(),
                                    [&](const core::departed_life& left) { return left.id == leaving.id; });
    if (known != departed.end() && !says_more(leaving, *known)) {
        return false;
    }
    if (known != departed.end()) {
        departed.erase(known);
    } else if (departed.size() == most_remembered) {
        departed.erase(departed.begin());
    }
    departed.push_back(leaving);
    return true;
}

} // namespace

announcement_effect hear_ready(backend_lives& lives, const announcement_mark& offered,
                               core::steady_time now) {
    if (has_left(lives.departed, offered) || is_overtaken(lives.newest, offered)) {
        return announcement_effect::late;
    }
    const bool is_same = is_same_life(lives.newest, offered);
    lives.newest = offered;
    if (is_same && lives.serves) {
        return announcement_effect::again;
    }
    if (lives.is_past_settled || (is_same && has_proved_life(lives, now))) {
        serve(lives);
        return announcement_effect::opens;
    }
    if (!is_same || !lives.waits_since) {
        lives.waits_since = now;
    }
    lives.serves = false;
    return announcement_effect::waits;
}

announcement_effect hear_draining(backend_lives& lives, const announcement_mark& offered,
                                  std::uint64_t heard_ms) {
    if (is_overtaken(lives.newest, offered)) {
        return announcement_effect::late;
    }
    lives.newest = offered;
    return hear_farewell(lives, {offered.id, offered.started_ms, heard_ms});
}

announcement_effect hear_farewell(backend_lives& lives, const core::departed_life& leaving) {
    const core::departed_life known{leaving.id, start_of(lives, leaving), leaving.heard_ms};
    const bool is_news = remember(lives, known);
    if (is_late_farewell(lives.newest, known)) {
        return announcement_effect::late;
    }
    if (!is_news) {
        return announcement_effect::again;
    }
    shut(lives);
    return announcement_effect::leaves;
}

announcement_effect learn_past(backend_lives& lives, const std::vector<core::departed_life>& departed) {
    lives.is_past_settled = true;
    for (const auto& left : departed) {
        static_cast<void>(remember(lives, left));
    }
    if (lives.newest && has_left(lives.departed, *lives.newest)) {
        const bool served = lives.serves;
        shut(lives);
        return served ? announcement_effect::leaves : announcement_effect::again;
    }
    if (lives.waits_since) {
        serve(lives);
        return announcement_effect::opens;
    }
    return announcement_effect::again;
}

} // namespace monsoonlift::gate
