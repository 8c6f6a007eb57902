/// The operator's configuration on the platform, as a document of this project.
#pragma once

#include "configuration/types/stored_configuration.h"

#include <boost/json/value.hpp>

#include <string>
#include <variant>

namespace monsoonlift::platform {

/// Why a configuration can't be used, in plain words.
struct configuration_fault {
    std::string reason;
};

/// Translates the content of the platform's configuration object. The revision is its version; the document
/// has one class a priority, the most urgent first, and calls find their services by routes.
[[nodiscard]] std::variant<configuration::stored_configuration, configuration_fault>
decode_configuration(const boost::json::value& content);

} // namespace monsoonlift::platform
