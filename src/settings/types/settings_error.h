#pragma once

#include <string>

namespace monsoonlift::settings {

/// One error in a YAML text: its position, the value found and a description of the allowed values.
struct settings_error {
    std::string path; ///< Path of the value, such as "services[2].calls[0].class".
    int line = 0;     ///< Line in the text, starting at 1; 0 if unknown.
    std::string found;
    std::string allowed;
};

/// Formats an error as "services[0].slots (line 7): found "many", allowed: a whole number from 1 to 100000".
[[nodiscard]] std::string to_string(const settings_error& error);

} // namespace monsoonlift::settings
