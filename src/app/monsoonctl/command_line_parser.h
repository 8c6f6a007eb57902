#pragma once

#include <string>
#include <variant>
#include <vector>

#include "app/monsoonctl/types/command_line.h"

namespace monsoonlift::monsoonctl {

/// A command line that ends the program: what to print, and whether it is an error.
struct early_exit {
    std::string text;
    bool is_error = false;
};

/// Reads the arguments that follow the program's name.
[[nodiscard]] std::variant<command_line, early_exit>
parse_command_line(const std::vector<std::string>& arguments);

} // namespace monsoonlift::monsoonctl
