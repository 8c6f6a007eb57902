#pragma once

#include "gate/types/backend_server.h"

#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::admin {

/// Describes why an announcement is invalid.
struct announcement_error {
    std::string detail;
};

/// Parses a JSON object with "service", "address", "slots", "connections" and, optionally, "instance".
[[nodiscard]] std::variant<gate::backend_server, announcement_error>
parse_announcement(std::string_view json_text);

} // namespace monsoonlift::admin
