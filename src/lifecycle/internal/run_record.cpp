#include "lifecycle/run_record.h"

namespace monsoonlift::lifecycle {

run_record begin_record(core::steady_time now) {
    return {now, now - shortest_pause, now - shortest_pause};
}

void note_turn(run_record& record, core::steady_time now) {
    if (now - record.last_turn >= shortest_pause) {
        record.pause_began = record.last_turn;
        record.pause_ended = now;
    }
    record.last_turn = now;
}

core::steady_time earliest_arrival(const run_record& record, core::steady_time now) {
    if (now - record.last_turn >= shortest_pause) {
        return record.last_turn;
    }
    // NOTE: after a pause, the turn may come before the signal that waited with it.
    const bool follows_pause = now - record.pause_ended < turn_interval;
    return follows_pause ? record.pause_began : now;
}

} // namespace monsoonlift::lifecycle
