#include "transport/types/frame.h"

namespace monsoonlift::transport {

std::string_view to_string(frame_target target) {
    switch (target) {
    case frame_target::entry:
        return "entry";
    case frame_target::gate:
        return "gate";
    case frame_target::control:
        return "control";
    }
    return "unknown";
}

} // namespace monsoonlift::transport
