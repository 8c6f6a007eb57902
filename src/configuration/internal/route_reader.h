#pragma once

#include <string>
#include <vector>

#include "configuration/limits.h"
#include "configuration/types/document.h"
#include "settings/yaml_reader.h"

namespace monsoonlift::configuration::internal {

/// Reads the list of routes; errors are added to the reader's error list.
[[nodiscard]] std::vector<route_rule> read_routes(settings::yaml_reader& root,
                                                  const std::vector<std::string>& classes,
                                                  const document_limits& limits);

/// Reports every destination whose service is not defined in the document.
void check_destinations(settings::yaml_reader& root, const std::vector<route_rule>& routes,
                        const std::vector<service_rule>& services);

} // namespace monsoonlift::configuration::internal
