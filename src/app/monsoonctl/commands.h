/// The commands of monsoonctl. Each prints its answer and gives the exit code.
#pragma once

#include <iosfwd>
#include <string>

#include "app/monsoonctl/console.h"
#include "app/monsoonctl/control_session.h"
#include "app/monsoonctl/types/command_line.h"

namespace monsoonlift::monsoonctl {

/// Checks a document.
exit_code run_validate(const std::string& document, console& out);

/// Submits a document.
exit_code run_submit(const command_line& line, const std::string& document, control_session& session,
                     console& out);

/// Prints the document in force.
exit_code run_show(const command_line& line, control_session& session, console& out);

/// Prints what a document would change.
exit_code run_diff(const command_line& line, const std::string& document, control_session& session,
                   console& out);

/// Prints the audit trail, newest first.
exit_code run_history(const command_line& line, control_session& session, console& out);

/// Prints what a daemon says of itself.
exit_code run_status(const command_line& line, control_session& session, console& out);

/// Asks a daemon to drain.
exit_code run_drain(const command_line& line, const std::string& token, control_session& session,
                    console& out);

/// Prints the requests that a daemon knows as suspect or held.
exit_code run_quarantine_list(const command_line& line, control_session& session, console& out);

/// Has a request held or released by every daemon.
exit_code run_quarantine_ruling(const command_line& line, bool held, const std::string& token,
                                control_session& session, console& out);

/// Prints what logs say of one request; "-" among the logs is `input`.
exit_code run_explain(const command_line& line, std::istream& input, console& out);

/// Frees the homes of a gate whose VM is destroyed; the assertion is recorded first.
exit_code run_fence(const command_line& line, control_session& session, console& out);

} // namespace monsoonlift::monsoonctl
