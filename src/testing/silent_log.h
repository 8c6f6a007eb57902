#pragma once

#include "logging/event_log.h"

#include <initializer_list>

namespace monsoonlift::testing {

/// Discards all events, for tests that do not check them.
class silent_log final : public logging::event_log {
public:
    void write(logging::event_id /*id*/, std::initializer_list<logging::field> /*fields*/) override {}
};

} // namespace monsoonlift::testing
