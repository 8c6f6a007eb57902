#pragma once

#include "store/http_object_api.h"
#include "store/tests/standin_environment.h"

namespace monsoonlift::store::tests {

/// The HTTP client of this project's own object API, against the stand-in.
class http_environment final : public standin_environment {
public:
    http_environment() { server().start(); }

    object_api& api() override { return m_api; }

private:
    http_object_api m_api{context().get_executor(), std::make_shared<service_address>(server().address())};
};

} // namespace monsoonlift::store::tests
