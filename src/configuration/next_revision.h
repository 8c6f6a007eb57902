#pragma once

#include <optional>
#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "configuration/types/stored_configuration.h"
#include "configuration/types/submission.h"
#include "core/clock.h"

namespace monsoonlift::configuration {

/// What the submitted document changes against the accepted one, as lines for people; bounded in number and
/// length.
[[nodiscard]] std::vector<std::string> describe_changes(const std::optional<stored_configuration>& accepted,
                                                        const document& submitted);

/// The value to write next: the submitted document, its digest and its audit entry.
[[nodiscard]] stored_configuration next_revision(const std::optional<stored_configuration>& accepted,
                                                 const submission_request& request,
                                                 std::vector<std::string> changes, core::wall_time now);

/// The audit entry of a submission, if it is among the kept ones.
[[nodiscard]] const audit_entry* find_submission(const stored_configuration& stored,
                                                 const std::string& submission);

} // namespace monsoonlift::configuration
