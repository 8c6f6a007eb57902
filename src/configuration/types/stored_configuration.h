#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace monsoonlift::configuration {

/// One accepted change: who made it, when, from which revision, and what it changed.
struct audit_entry {
    std::uint64_t revision = 0;      ///< Revision that the change created.
    std::uint64_t from_revision = 0; ///< Revision that it replaced; 0 for the first.
    std::string who;
    std::string message;
    std::string submission; ///< Unique ID of the submission, chosen by the submitter.
    core::wall_time when;
    std::vector<std::string> changes;
};

/// Value of the platform's object `configuration/current`: document and audit trail together, so that one
/// conditional write updates both.
struct stored_configuration {
    std::uint64_t revision = 0;     ///< Incremented by each accepted submission.
    std::string submission;         ///< ID of the submission that created this revision.
    std::string document;           ///< The text as submitted.
    std::string digest;             ///< SHA-256 over revision, submission and document.
    std::vector<audit_entry> audit; ///< The newest entries, oldest first.
    std::string previous_archive;   ///< Name of the archive object with the entries before these; empty if
                                    ///< there is none.
};

/// Audit entries moved out of `configuration/current`, oldest first; archives form a linked list from the
/// newest to the oldest.
struct audit_archive {
    std::string previous_archive; ///< Name of the next older archive object; empty for the oldest.
    std::vector<audit_entry> entries;
};

/// Name of the object that holds the accepted configuration.
inline constexpr auto current_object = "configuration/current";

} // namespace monsoonlift::configuration
