#include "gate/announcement_order.h"

namespace monsoonlift::gate {

bool is_overtaken(const std::optional<announcement_mark>& newest, const announcement_mark& offered) {
    if (!newest) {
        return false;
    }
    if (offered.started_ms != newest->started_ms) {
        return offered.started_ms < newest->started_ms;
    }
    return offered.id == newest->id && offered.sequence <= newest->sequence;
}

bool has_left(const std::optional<departed_life>& departed, const announcement_mark& offered) {
    if (!departed || departed->started_ms == 0 || offered.started_ms == 0) {
        return false;
    }
    if (offered.started_ms != departed->started_ms) {
        return offered.started_ms < departed->started_ms;
    }
    return offered.id == departed->id;
}

bool is_late_farewell(const std::optional<announcement_mark>& newest, const departed_life& leaving) {
    if (!newest) {
        return false;
    }
    if (leaving.started_ms == 0 || newest->started_ms == 0) {
        return leaving.id != newest->id;
    }
    return leaving.started_ms < newest->started_ms;
}

} // namespace monsoonlift::gate
