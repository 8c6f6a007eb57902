#include "gate/announcement_order.h"

#include <algorithm>

namespace monsoonlift::gate {

namespace {

bool shuts_out(const core::departed_life& left, const announcement_mark& offered) {
    const bool both_told = left.started_ms != 0 && offered.started_ms != 0;
    if (left.id != offered.id) {
        return both_told && offered.started_ms < left.started_ms;
    }
    if (both_told) {
        return offered.started_ms <= left.started_ms;
    }
    return left.heard_ms == 0 || offered.started_ms <= left.heard_ms;
}

} // namespace

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

bool has_left(const std::vector<core::departed_life>& departed, const announcement_mark& offered) {
    return std::any_of(departed.begin(), departed.end(),
                       [&](const core::departed_life& left) { return shuts_out(left, offered); });
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
