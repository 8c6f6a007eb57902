#include "store/reply_reading.h"

#include <string>

namespace monsoonlift::store {

namespace {

/// Bytes of the store's answer to a refused call that are quoted in the error message.
constexpr std::size_t max_quoted_bytes = 200;

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
        return {core::error_code::unavailable, "the store refused the call without effect (" + code + ")"};
    default:
        break;
    }
    if (reply.status >= status_internal_error) {
        return {core::error_code::timeout, "the store failed with status " + code,
                core::verdict::may_have_run};
    }
    return {core::error_code::invalid_input,
            "the store refused the call with status " + code + ": " + reply.body.substr(0, max_quoted_bytes)};
}

} // namespace monsoonlift::store
