#pragma once

#include <optional>
#include <utility>

#include "core/error.h"

namespace monsoonlift::store {

/// What became of an asynchronous operation: a value, or the failure in its place.
template <class T> struct settled {
    std::optional<T> value;
    core::error failure; ///< Meaningful only without a value.
};

/// Takes a result apart, once, for handlers that look at both sides.
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
