/// HTTP paths of the platform's metadata store for the stand-in, so that tests and demos run without the
/// users' platform.
#pragma once

#include "app/platform_standin/request_handler.h"
#include "app/platform_standin/standin_state.h"

#include <optional>

namespace monsoonlift::platform::testing {

/// Handles a call to the store; returns nothing if the path is not one of the store's. Objects are kept in
/// the stand-in's memory as "KIND/NAME", with the JSON text of their content as value.
[[nodiscard]] std::optional<platform_standin::handling>
handle_store_call(platform_standin::standin_state& state, const platform_standin::standin_request& request);

} // namespace monsoonlift::platform::testing
