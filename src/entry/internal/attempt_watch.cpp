#include "entry/attempt_watch.h"

#include <algorithm>

namespace monsoonlift::entry {

bool note_doubt(attempt_watch& watch, bool can_be_repeated, core::steady_time now) {
    const bool asks = can_be_repeated && !watch.reply_due && !watch.is_replaced;
    if (asks) {
        watch.reply_due = now + gate_reply_timeout;
    }
    return asks;
}

void note_replaced(attempt_watch& watch, core::steady_time now) {
    watch.is_replaced = true;
    watch.reply_due = now + last_frames_timeout;
}

void note_frame(attempt_watch& watch, core::steady_time now) {
    watch.reply_due.reset();
    if (watch.is_replaced) {
        watch.reply_due = now + last_frames_timeout;
    }
}

bool is_given_up(const attempt_watch& watch, core::steady_time now) {
    return watch.reply_due && now >= *watch.reply_due;
}

core::steady_time wait_until(const attempt_watch& watch, core::steady_time deadline) {
    return watch.reply_due ? std::min(*watch.reply_due, deadline) : deadline;
}

} // namespace monsoonlift::entry
