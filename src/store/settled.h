#pragma once

#include <optional>
#include <utility>

#include "core/error.h"

namespace monsoonlift::store {

/// Outcome of an asynchronous operation: a value or an error.
template <class T> struct settled {
    std::optional<T> value;
    core::error failure; ///< Meaningful only without a value.
};

/// Consumes a result and returns its value or error, for handlers that inspect both.
template <class T> [[nodiscard]] settled<T> settle_result(core::result<T> outcome) {
    return core::settle([&] { return std::move(outcome); },
                        [](T&& value) {
                            return settled<T>{std::move(value), {}};
                        },
                        [](const core::error& failure) {
                            return settled<T>{std::nullopt, failure};
                        });
}

} // namespace monsoonlift::store
