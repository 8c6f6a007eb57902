#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/stored_configuration.h"
#include "settings/types/settings_error.h"

namespace monsoonlift::configuration {

/// An operator's request to put a document in force.
struct submission_request {
    std::string document;
    std::string who; ///< Author, for the audit trail; must not be empty.
    std::string message;
    std::string submission; ///< Unique ID; resending it returns the outcome of the earlier submission.
    std::optional<std::uint64_t> base_revision; ///< If set, the submission is refused unless
                                                ///< this revision is in force.
};

/// Outcome of a submission.
enum class submission_status {
    accepted,
    unchanged,   ///< The same text is already in force.
    invalid,     ///< The document or the request breaks a rule; nothing was written.
    conflict,    ///< The base revision is not in force or another change was accepted first; nothing was
                 ///< changed.
    unavailable, ///< The platform could not be reached; nothing was written.
    unknown      ///< The write may have taken effect; resend with the same submission ID to find out.
};

/// Result of a submission, as reported to the operator.
struct submission_outcome {
    submission_status status = submission_status::unavailable;
    std::uint64_t revision = 0; ///< Latest revision known to be accepted; 0 if none.
    std::string detail;
    std::vector<std::string> changes; ///< If accepted: description of the changes.
    std::vector<audit_entry> others;  ///< In a conflict: entries accepted since the base revision.
    std::vector<settings::settings_error> errors; ///< Errors of an invalid document.
};

} // namespace monsoonlift::configuration
