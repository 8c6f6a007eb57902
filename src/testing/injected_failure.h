#pragma once

#include <stdexcept>

namespace monsoonlift::testing {

/// An exception that a test makes a step throw; fixtures go on after it and fail at any other.
class injected_failure final : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace monsoonlift::testing
