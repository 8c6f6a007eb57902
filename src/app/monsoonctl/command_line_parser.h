#pragma once

#include <string>
#include <variant>
#include <vector>

#include "app/monsoonctl/types/command_line.h"

namespace monsoonlift::monsoonctl {

/// Result of a command line that runs no command: the text to print, and whether it is an error.
struct early_exit {
    std::string text;
    bool is_error = false;
};

/// Parses the arguments that follow the program's name.
[[nodiscard]] std::variant<command_line, early_exit>
parse_command_line(const std::vector<std::string>& arguments);

} // namespace monsoonlift::monsoonctl
