/// The whole decision on one attempt at a non-idempotent request: its records, its times and its home.
#pragma once

#include "execution/execution_table.h"
#include "execution/home_table.h"

namespace monsoonlift::execution {

/// What one gate knows.
struct execution_state {
    execution_table table;
    home_view homes;
};

/// Decides on an attempt. With begin_action::run a record is open until mark_sent() and a finish function, or
/// abandon(), end it. An attempt that is refused with not_run is refused for good.
[[nodiscard]] begin_decision begin(execution_state& state, const begin_request& request,
                                   core::steady_time now, core::wall_time wall_now);

/// Checks that this gate is the one that may run the key.
[[nodiscard]] begin_decision check_home(const execution_state& state, const execution_key& key,
                                        core::wall_time wall_now);

} // namespace monsoonlift::execution
