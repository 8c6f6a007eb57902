/// Errors as values: Boost.LEAF results that carry one typed error. Callers check a result immediately and
/// return early on failure.
#pragma once

#include "core/types/verdict.h"

#include <boost/leaf/capture.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <utility>

namespace monsoonlift::core {

/// Kinds of failure that callers of a module distinguish.
enum class error_code {
    invalid_input, ///< The input violates a documented rule; a retry cannot succeed.
    not_found,
    conflict,    ///< Another writer changed the object first.
    unavailable, ///< The remote side cannot be reached or refuses temporarily.
    timeout,
    internal
};

/// A failure: its kind, a description for people, and whether the request that failed may have run.
struct error {
    error_code code = error_code::internal;
    std::string message;
    verdict run = verdict::not_run;
};

/// Result of an operation that can fail with core::error.
template <class T> using result = boost::leaf::result<T>;

/// Returns a failed result, to be handled further up the same call stack:
/// return fail({error_code::not_found, "no service named x"}).
[[nodiscard]] inline boost::leaf::error_id fail(error failure) {
    return boost::leaf::new_error(std::move(failure));
}

/// Returns a failed result that stores its error, to be handled later or on another thread.
template <class T> [[nodiscard]] result<T> captured_failure(error failure) {
    const auto error_handler = [](const error&) {
    };
    return boost::leaf::capture(boost::leaf::make_shared_context(error_handler),
                                [&]() -> result<T> { return boost::leaf::new_error(std::move(failure)); });
}

/// Runs `operation`, which returns result<T>, passes its value to `on_value` or its error to `on_error`, and
/// returns what the handler returns. Both handlers must have the same return type.
template <class Operation, class OnValue, class OnError>
auto settle(Operation&& operation, OnValue&& on_value, OnError&& on_error) {
    namespace leaf = boost::leaf;
    using outcome = decltype(on_error(std::declval<const error&>()));
    return leaf::try_handle_all(
        [&]() -> leaf::result<outcome> {
            auto value = operation();
            if (!value) {
                return value.error();
            }
            if constexpr (std::is_void_v<outcome>) {
                on_value(std::move(*value));
                return {};
            } else {
                return on_value(std::move(*value));
            }
        },
        [&](const error& failure) { return on_error(failure); },
        [&] {
            return on_error(
                error{error_code::internal, "a failure without a description", verdict::may_have_run});
        });
}

} // namespace monsoonlift::core
