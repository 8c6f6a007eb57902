/// Decides whether an attempt of a non-idempotent request runs, from the records, the times and the key's
/// home.
#pragma once

#include "execution/execution_table.h"
#include "execution/home_table.h"

namespace monsoonlift::execution {

/// Execution records of one gate and its view of the home table.
struct execution_state {
    execution_table table;
    home_view homes;
};

/// Decides whether an attempt runs. begin_action::run opens a record, which stays open until abandon(), or
/// mark_sent() and a finish function, are called. An attempt refused with not_run is refused permanently.
[[nodiscard]] begin_decision begin(execution_state& state, const begin_request& request,
                                   core::steady_time now, core::wall_time wall_now);

/// Checks that this gate is the home of the key; begin_action::run if it is.
[[nodiscard]] begin_decision check_home(const execution_state& state, const execution_key& key,
                                        core::wall_time wall_now);

} // namespace monsoonlift::execution
