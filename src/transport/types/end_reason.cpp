#include "transport/types/end_reason.h"

namespace monsoonlift::transport {

std::string_view to_string(end_reason reason) {
    switch (reason) {
    case end_reason::answered:
        return "answered";
    case end_reason::shed:
        return "shed";
    case end_reason::draining:
        return "draining";
    case end_reason::no_backend:
        return "no_backend";
    case end_reason::deadline:
        return "deadline";
    case end_reason::cancelled:
        return "cancelled";
    case end_reason::backend_failed:
        return "backend_failed";
    case end_reason::backend_refused:
        return "backend_refused";
    case end_reason::body_damaged:
        return "body_damaged";
    case end_reason::key_conflict:
        return "key_conflict";
    case end_reason::already_running:
        return "already_running";
    case end_reason::wrong_service:
        return "wrong_service";
    case end_reason::wrong_home:
        return "wrong_home";
    case end_reason::home_unknown:
        return "home_unknown";
    case end_reason::refused_key:
        return "refused_key";
    case end_reason::quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace monsoonlift::transport
