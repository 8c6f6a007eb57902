#pragma once

#include <optional>
#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "configuration/types/stored_configuration.h"
#include "configuration/types/submission.h"
#include "core/clock.h"

namespace monsoonlift::configuration {

/// Describes how the submitted document differs from the accepted one, as human-readable lines; their number
/// and length are bounded.
[[nodiscard]] std::vector<std::string> describe_changes(const std::optional<stored_configuration>& accepted,
                                                        const document& submitted);

/// Returns the value to write for a submission: the next revision with the submitted document, its digest and
/// its audit entry appended to those of `accepted`.
[[nodiscard]] stored_configuration next_revision(const std::optional<stored_configuration>& accepted,
                                                 const submission_request& request,
                                                 std::vector<std::string> changes, core::wall_time now);

/// Returns the audit entry of a submission; nullptr if it is not among the entries in `stored`.
[[nodiscard]] const audit_entry* find_submission(const stored_configuration& stored,
                                                 const std::string& submission);

} // namespace monsoonlift::configuration
