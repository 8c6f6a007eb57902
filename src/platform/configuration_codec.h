/// Translates the operator's configuration on the platform into a configuration document of this project.
#pragma once

#include "configuration/types/stored_configuration.h"

#include <boost/json/value.hpp>

#include <string>
#include <variant>

namespace monsoonlift::platform {

/// Human-readable reason why a configuration can't be used.
struct configuration_fault {
    std::string reason;
};

/// Translates the content of the platform's configuration object. The revision is its `Version`; the document
/// has one class per priority, the most urgent first, and routes that map calls to services.
[[nodiscard]] std::variant<configuration::stored_configuration, configuration_fault>
decode_configuration(const boost::json::value& content);

} // namespace monsoonlift::platform
