/// Interprets HTTP answers for every client of an object API.
#pragma once

#include "core/error.h"
#include "store/settled.h"
#include "store/types/http_message.h"

#include <utility>

namespace monsoonlift::store {

/// HTTP statuses that the clients distinguish.
enum http_status : unsigned {
    status_ok = 200,
    status_first_redirection = 300,
    status_not_found = 404,
    status_conflict = 409,
    status_gone = 410,
    status_too_many_requests = 429,
    status_internal_error = 500,
    status_unavailable = 503
};

/// Maps a non-success answer to an error. For statuses below 500 without a case of
/// their own, the message quotes the beginning of the body.
[[nodiscard]] core::error error_of(const http_reply& reply);

/// Returns the value that `parse` reads from the body of a success, or the error. A malformed success answer
/// is a timeout error with verdict may_have_run, since the effect of the call is unknown.
template <class T, class Parser> core::result<T> read_reply(core::result<http_reply> answered, Parser parse) {
    const auto answer = settle_result(std::move(answered));
    if (!answer.value) {
        return core::captured_failure<T>(answer.failure);
    }
    const auto status = answer.value->status;
    if (status < status_ok || status >= status_first_redirection) {
        return core::captured_failure<T>(error_of(*answer.value));
    }
    auto parsed = parse(answer.value->body);
    if (!parsed) {
        return core::captured_failure<T>(
            {core::error_code::timeout, "the store's answer can't be read", core::verdict::may_have_run});
    }
    return std::move(*parsed);
}

} // namespace monsoonlift::store
