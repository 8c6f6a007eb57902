#include "entry/internal/attempt_result.h"

#include "core/http_status.h"

namespace monsoonlift::entry::internal {

using transport::end_reason;

namespace {

/// Whether the reason says nothing about the health of the backend server.
bool is_unrelated_to_server(end_reason reason) {
    switch (reason) {
    case end_reason::shed:
    case end_reason::draining:
    case end_reason::wrong_home:
    case end_reason::home_unknown:
    case end_reason::key_conflict:
    case end_reason::already_running:
    case end_reason::refused_key:
    case end_reason::quarantined:
    case end_reason::body_damaged:
    case end_reason::cancelled:
        return true;
    default:
        return false;
    }
}

} // namespace

routing::attempt_result to_attempt_result(const transport::attempt_end& end, unsigned answer_status,
                                          bool is_due_to_caller, std::chrono::nanoseconds latency) {
    routing::attempt_result result;
    result.run = end.run;
    result.succeeded = end.reason == end_reason::answered && !core::is_server_error(answer_status);
    const bool is_aborted_by_caller = is_due_to_caller && end.reason != end_reason::answered;
    result.shed = is_aborted_by_caller || is_unrelated_to_server(end.reason);
    result.latency = latency;
    result.report = end.load;
    return result;
}

attempt_outcome_kind outcome_kind_of(end_reason reason, unsigned answer_status) {
    switch (reason) {
    case end_reason::answered:
        return core::is_server_error(answer_status) ? attempt_outcome_kind::server_error
                                                    : attempt_outcome_kind::whole;
    case end_reason::backend_refused:
        return attempt_outcome_kind::server_refused;
    case end_reason::shed:
        return attempt_outcome_kind::gate_refused;
    case end_reason::deadline:
        return attempt_outcome_kind::late;
    case end_reason::backend_failed:
    case end_reason::cancelled:
    case end_reason::body_damaged:
        return attempt_outcome_kind::broken;
    default:
        return attempt_outcome_kind::unavailable;
    }
}

} // namespace monsoonlift::entry::internal
