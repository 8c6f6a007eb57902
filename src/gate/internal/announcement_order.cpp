#include "gate/announcement_order.h"

#include <algorithm>

namespace monsoonlift::gate {

namespace {

bool applies_to(const core::departed_life& departure, const announcement_mark& offered) {
    const bool both_starts_known = departure.started_ms != 0 && offered.started_ms != 0;
    if (departure.id != offered.id) {
        return both_starts_known && offered.started_ms < departure.started_ms;
    }
    if (both_starts_known) {
        return offered.started_ms <= departure.started_ms;
    }
    return departure.heard_ms == 0 || offered.started_ms <= departure.heard_ms;
}

} // namespace

bool is_same_life(const std::optional<announcement_mark>& known, const announcement_mark& offered) {
    return known && known->id == offered.id && known->started_ms == offered.started_ms;
}

bool is_superseded(const std::optional<announcement_mark>& newest, const announcement_mark& offered) {
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
                       [&](const core::departed_life& departure) { return applies_to(departure, offered); });
}

bool is_late_deregistration(const std::optional<announcement_mark>& newest,
                            const core::departed_life& leaving) {
    if (!newest) {
        return false;
    }
    if (leaving.started_ms == 0 || newest->started_ms == 0) {
        return leaving.id != newest->id;
    }
    return leaving.started_ms < newest->started_ms;
}

} // namespace monsoonlift::gate
