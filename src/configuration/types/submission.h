#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/stored_configuration.h"
#include "settings/types/settings_error.h"

namespace monsoonlift::configuration {

/// A document that an operator wants in force.
struct submission_request {
    std::string document;
    std::string who;
    std::string message;
    std::string submission; ///< Unique; the same again asks what became of the earlier try.
    std::optional<std::uint64_t> base_revision; ///< Refuse if the revision in force is another.
};

/// How a submission ended.
enum class submission_status {
    accepted,
    unchanged,   ///< The very same text is in force already.
    invalid,     ///< The document or the request breaks a rule; nothing was written.
    conflict,    ///< Another change was accepted meanwhile; nothing of this one was.
    unavailable, ///< The platform could not be reached; nothing was written.
    unknown      ///< The write may have taken effect; ask again with the same submission.
};

/// What the operator is told.
struct submission_outcome {
    submission_status status = submission_status::unavailable;
    std::uint64_t revision = 0; ///< In force as far as is known.
    std::string detail;
    std::vector<std::string> changes;             ///< What an accepted submission changed.
    std::vector<audit_entry> others;              ///< In a conflict: what was accepted meanwhile.
    std::vector<settings::settings_error> errors; ///< Of an invalid document.
};

} // namespace monsoonlift::configuration
