#include "settings/types/settings_error.h"

namespace monsoonlift::settings {

std::string to_string(const settings_error& error) {
    std::string text = error.path;
    if (error.line > 0) {
        text += " (line " + std::to_string(error.line) + ")";
    }
    text += ": found " + error.found + ", allowed: " + error.allowed;
    return text;
}

} // namespace monsoonlift::settings
