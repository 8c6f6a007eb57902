#include "gate/announcement_order.h"

namespace monsoonlift::gate {

bool is_same_life(const std::optional<announcement_mark>& known, const announcement_mark& offered) {
    return known && known->id == offered.id && known->started_ms == offered.started_ms;
}

bool is_overtaken(const std::optional<announcement_mark>& newest, const announcement_mark& offered) {
    if (!newest) {
        return false;
    }
    if (offered.started_ms != newest->started_ms) {
        return offered.started_ms < newest->started_ms;
    }
    return offered.id == newest->id && offered.sequence <= newest->sequence;
}

bool has_left(const std::optional<core::departed_life>& departed, const announcement_mark& offered) {
    if (!departed) {
        return false;
    }
    const bool both_told = departed->started_ms != 0 && offered.started_ms != 0;
    if (departed->id != offered.id) {
        return both_told && offered.started_ms < departed->started_ms;
    }
    if (both_told) {
        return offered.started_ms <= departed->started_ms;
    }
    return departed->heard_ms == 0 || offered.started_ms <= departed->heard_ms;
}

bool is_late_farewell(const std::optional<announcement_mark>& newest, const core::departed_life& leaving) {
    if (!newest) {
        return false;
    }
    if (leaving.started_ms == 0 || newest->started_ms == 0) {
        return leaving.id != newest->id;
    }
    return leaving.started_ms < newest->started_ms;
}

} // namespace monsoonlift::gate
