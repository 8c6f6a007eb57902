#pragma once

#include "app/monsoonctl/control_session.h"
#include "app/monsoonctl/types/command_line.h"
#include "configuration/types/stored_configuration.h"

namespace monsoonlift::monsoonctl {

/// Message of commands that need a configuration while there is none.
inline constexpr auto nothing_accepted = "no configuration has been accepted yet";

/// Reads the configuration in force from the platform.
[[nodiscard]] store::settled<configuration::stored_configuration> read_current(const command_line& line,
                                                                               control_session& session);

/// Reads the configuration that the daemon of the command line uses.
[[nodiscard]] store::settled<configuration::stored_configuration>
read_configuration_of_daemon(const command_line& line, control_session& session);

/// Sends a GET request to the daemon of the command line and returns the body of its answer.
[[nodiscard]] store::settled<std::string> get_from_daemon(const command_line& line, const std::string& path,
                                                          control_session& session);

} // namespace monsoonlift::monsoonctl
