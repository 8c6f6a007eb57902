#include "store/reply_reading.h"

#include <string>

namespace monsoonlift::store {

namespace {

/// Of what the store says of a refused call, for the log.
constexpr std::size_t longest_reason = 200;

} // namespace

core::error error_of(const http_reply& reply) {
    const auto code = std::to_string(reply.status);
    switch (reply.status) {
    case status_not_found:
        return {core::error_code::not_found, "the store has no such object"};
    case status_conflict:
        return {core::error_code::conflict, "the object has another version"};
    case status_gone:
        return {core::error_code::unavailable, "the store has dropped the history after that revision (410)"};
    case status_too_many_requests:
    case status_unavailable:
        return {core::error_code::unavailable, "the store did nothing (" + code + ")"};
    default:
        break;
    }
    if (reply.status >= status_internal_error) {
        return {core::error_code::timeout, "the store failed with status " + code,
                core::verdict::may_have_run};
    }
    return {core::error_code::invalid_input,
            "the store refused the call with status " + code + ": " + reply.body.substr(0, longest_reason)};
}

} // namespace monsoonlift::store
