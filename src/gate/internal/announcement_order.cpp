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

} // namespace monsoonlift::gate
