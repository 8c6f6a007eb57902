/// Errors as values: Boost.LEAF results carrying one typed error, checked at once by early return.
#pragma once

#include "core/types/verdict.h"

#include <boost/leaf/capture.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <utility>

namespace monsoonlift::core {

/// Kinds of failure that callers of a module tell apart.
enum class error_code {
    invalid_input, ///< The input breaks a stated rule; sending it again changes nothing.
    not_found,
    conflict,    ///< Somebody else changed it first.
    unavailable, ///< The other side can't be reached or refuses for now.
    timeout,
    internal
};

/// One failure: its kind, a sentence for people, and whether the request behind it may have run.
struct error {
    error_code code = error_code::internal;
    std::string message;
    verdict run = verdict::not_run;
};

/// Result of an operation that can fail with core::error.
template <class T> using result = boost::leaf::result<T>;

/// A failed result for a caller further up the same stack:
/// return fail({error_code::not_found, "no service named x"}).
[[nodiscard]] inline boost::leaf::error_id fail(error failure) {
    return boost::leaf::new_error(std::move(failure));
}

/// A failed result that carries its error with it, for handlers called later or on another thread.
template <class T> [[nodiscard]] result<T> captured_failure(error failure) {
    const auto kept = [](const error&) {
    };
    return boost::leaf::capture(boost::leaf::make_shared_context(kept),
                                [&]() -> result<T> { return boost::leaf::new_error(std::move(failure)); });
}

/// Runs `operation`, which returns result<T>, and gives its value to `on_value` or its error to `on_error`;
/// both return the same type, which is returned.
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
