#pragma once

#include "gate/types/backend_server.h"

#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::admin {

/// What is wrong with an announcement.
struct announcement_error {
    std::string detail;
};

/// Reads {"service","address","slots","connections"} and, if it is there, "instance".
[[nodiscard]] std::variant<gate::backend_server, announcement_error>
parse_announcement(std::string_view json_text);

} // namespace monsoonlift::admin
