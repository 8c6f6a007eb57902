#include "gate/backend_lives.h"

namespace monsoonlift::gate {

namespace {

void serve(backend_lives& lives) {
    lives.departed.reset();
    lives.waits_since.reset();
    lives.serves = true;
    lives.is_past_settled = true;
}

void shut(backend_lives& lives, const core::departed_life& leaving) {
    lives.departed = leaving;
    lives.waits_since.reset();
    lives.serves = false;
}

bool has_proved_life(const backend_lives& lives, core::steady_time now) {
    return lives.waits_since && now - *lives.waits_since >= proof_of_life;
}

/// The farewell with all that is known of its life's start.
core::departed_life completed(const backend_lives& lives, core::departed_life leaving) {
    if (leaving.started_ms == 0 && lives.newest && lives.newest->id == leaving.id) {
        leaving.started_ms = lives.newest->started_ms;
    }
    const bool is_known = lives.departed && lives.departed->id == leaving.id;
    return is_known && leaving.started_ms == 0 ? *lives.departed : leaving;
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
    if (is_late_farewell(lives.newest, leaving)) {
        return announcement_effect::late;
    }
    const auto known = completed(lives, leaving);
    const bool is_repeated =
        lives.departed && lives.departed->id == known.id && lives.departed->started_ms == known.started_ms;
    if (is_repeated) {
        return announcement_effect::again;
    }
    shut(lives, known);
    return announcement_effect::leaves;
}

announcement_effect learn_past(backend_lives& lives, const std::optional<core::departed_life>& departed) {
    lives.is_past_settled = true;
    if (lives.departed) {
        return announcement_effect::again;
    }
    const bool tells_of_newest = departed && lives.newest && has_left(departed, *lives.newest);
    if (departed && (!lives.newest || tells_of_newest)) {
        const bool served = lives.serves;
        shut(lives, *departed);
        return served ? announcement_effect::leaves : announcement_effect::again;
    }
    if (lives.waits_since) {
        serve(lives);
        return announcement_effect::opens;
    }
    return announcement_effect::again;
}

} // namespace monsoonlift::gate
