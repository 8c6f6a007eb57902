/// Keeps an exception inside the unit of work that it came up in.
#pragma once

#include <exception>
#include <string>
#include <utility>

namespace monsoonlift::core {

/// Describes an exception for people; `failure` is not null.
[[nodiscard]] std::string describe(const std::exception_ptr& failure);

/// Runs `step`. If an exception leaves it, passes its description to `failed` and returns false.
template <class Step, class Failed> bool contain(Step&& step, Failed&& failed) {
    try {
        std::forward<Step>(step)();
        return true;
    } catch (...) {
        failed(describe(std::current_exception()));
        return false;
    }
}

} // namespace monsoonlift::core
