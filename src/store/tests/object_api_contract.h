/// What every implementation of the object API must do, as cases for their tests.
#pragma once

#include "store/tests/contract_environment.h"

#include <span>

namespace monsoonlift::store::tests {

/// One promise of the object API; `run` fails the test that calls it.
struct contract_case {
    const char* name;
    void (*run)(contract_environment&);
};

/// All promises.
[[nodiscard]] std::span<const contract_case> contract_cases();

} // namespace monsoonlift::store::tests
