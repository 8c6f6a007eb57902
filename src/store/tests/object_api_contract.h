/// Test cases that every implementation of the object API must pass.
#pragma once

#include "store/tests/contract_environment.h"

#include <span>

namespace monsoonlift::store::tests {

/// One requirement of the object API; `run` fails the calling test if it is not met.
struct contract_case {
    const char* name;
    void (*run)(contract_environment&);
};

/// Returns all cases.
[[nodiscard]] std::span<const contract_case> contract_cases();

} // namespace monsoonlift::store::tests
