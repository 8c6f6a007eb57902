/// Lets a series of steps go on when one of them fails: the next one is started all the same, and the
/// exception goes on to the caller, in the end to the loop that runs the handlers, which counts it and writes
/// a line.
#pragma once

#include <exception>
#include <utility>

namespace monsoonlift::core {

/// Runs `step` and then `next`, also if an exception leaves `step`; that exception then leaves this function.
template <class Step, class Next> void run_then(Step&& step, Next&& next) {
    std::exception_ptr failure;
    try {
        std::forward<Step>(step)();
    } catch (...) {
        failure = std::current_exception();
    }
    std::forward<Next>(next)();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

/// Passes each item to `step`, also those after an item whose step fails; the first exception then leaves
/// this function.
template <class Items, class Step> void for_each_apart(Items&& items, Step&& step) {
    std::exception_ptr failure;
    for (auto&& item : items) {
        try {
            step(item);
        } catch (...) {
            failure = failure ? failure : std::current_exception();
        }
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace monsoonlift::core
