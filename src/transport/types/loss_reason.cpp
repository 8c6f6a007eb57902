#include "transport/types/loss_reason.h"

namespace monsoonlift::transport {

std::string_view to_string(loss_reason reason) {
    switch (reason) {
    case loss_reason::expired:
        return "expired";
    case loss_reason::queue_full:
        return "queue_full";
    case loss_reason::link_closed:
        return "link_closed";
    case loss_reason::over_long:
        return "over_long";
    case loss_reason::link_broken:
        return "link_broken";
    }
    return "unknown";
}

} // namespace monsoonlift::transport
