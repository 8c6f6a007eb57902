/// The commands of monsoonctl. Each prints its result and returns the exit code.
#pragma once

#include <iosfwd>
#include <string>

#include "app/monsoonctl/console.h"
#include "app/monsoonctl/control_session.h"
#include "app/monsoonctl/types/command_line.h"

namespace monsoonlift::monsoonctl {

/// Validates a configuration document.
exit_code run_validate(const std::string& document, console& out);

/// Submits a configuration document.
exit_code run_submit(const command_line& line, const std::string& document, control_session& session,
                     console& out);

/// Prints the client accounts with their limits, and a daemon's counts of their calls if one is named.
exit_code run_accounts(const command_line& line, control_session& session, console& out);

/// Prints the configuration document in force, by default without the digests of API keys.
exit_code run_show(const command_line& line, control_session& session, console& out);

/// Prints the changes that a document would make to the configuration in force.
exit_code run_diff(const command_line& line, const std::string& document, control_session& session,
                   console& out);

/// Prints the audit trail, newest first.
exit_code run_history(const command_line& line, control_session& session, console& out);

/// Prints the status that a daemon reports.
exit_code run_status(const command_line& line, control_session& session, console& out);

/// Starts a planned stop of a daemon, which drains first.
exit_code run_drain(const command_line& line, const std::string& token, control_session& session,
                    console& out);

/// Prints the requests that a daemon suspects of crashing backend servers or holds in quarantine.
exit_code run_quarantine_list(const command_line& line, control_session& session, console& out);

/// Makes every daemon hold a request in quarantine or release it; one daemon notifies the others.
exit_code run_quarantine_ruling(const command_line& line, bool held, const std::string& token,
                                control_session& session, console& out);

/// Prints the log lines of one request; a log named "-" is read from `input`.
exit_code run_explain(const command_line& line, std::istream& input, console& out);

/// Frees the home slots of a gate whose VM is destroyed. The operator's assertion that it is destroyed is
/// recorded first.
exit_code run_fence(const command_line& line, control_session& session, console& out);

} // namespace monsoonlift::monsoonctl
