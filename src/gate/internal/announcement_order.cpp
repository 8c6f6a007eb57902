#include "gate/announcement_order.h"

#include <algorithm>

namespace monsoonlift::gate {

namespace {

bool applies_to(const core::departed_incarnation& departure, const announcement_position& offered) {
    const bool both_starts_known = departure.started_ms != 0 && offered.started_ms != 0;
    if (departure.id != offered.id) {
        return both_starts_known && offered.started_ms < departure.started_ms;
    }
    if (both_starts_known) {
        return offered.started_ms <= departure.started_ms;
    }
    return departure.received_ms == 0 || offered.started_ms <= departure.received_ms;
}

} // namespace

bool is_same_life(const std::optional<announcement_position>& known, const announcement_position& offered) {
    return known && known->id == offered.id && known->started_ms == offered.started_ms;
}

bool is_superseded(const std::optional<announcement_position>& newest, const announcement_position& offered) {
    if (!newest) {
        return false;
    }
    if (offered.started_ms != newest->started_ms) {
        return offered.started_ms < newest->started_ms;
    }
    return offered.id == newest->id && offered.sequence <= newest->sequence;
}

bool has_left(const std::vector<core::departed_incarnation>& departed, const announcement_position& offered) {
    return std::any_of(departed.begin(), departed.end(), [&](const core::departed_incarnation& departure) {
        return applies_to(departure, offered);
    });
}

bool is_late_deregistration(const std::optional<announcement_position>& newest,
                            const core::departed_incarnation& leaving) {
    if (!newest) {
        return false;
    }
    if (leaving.started_ms == 0 || newest->started_ms == 0) {
        return leaving.id != newest->id;
    }
    return leaving.started_ms < newest->started_ms;
}

} // namespace monsoonlift::gate
