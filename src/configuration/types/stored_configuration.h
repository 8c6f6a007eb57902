#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"

namespace monsoonlift::configuration {

/// One accepted change: who made it, when, from which revision, and what it changed.
struct audit_entry {
    std::uint64_t revision = 0;
    std::uint64_t from_revision = 0;
    std::string who;
    std::string message;
    std::string submission; ///< Identity of the submission, chosen by its sender.
    core::wall_time when;
    std::vector<std::string> changes;
};

/// What the platform keeps at `configuration/current`: document and audit trail in one value, so that one
/// conditional write accepts both.
struct stored_configuration {
    std::uint64_t revision = 0; ///< Rises by one with each accepted submission.
    std::string submission;
    std::string document;           ///< The text as submitted.
    std::string digest;             ///< SHA-256 over revision, submission and document.
    std::vector<audit_entry> audit; ///< The newest entries, oldest first.
    std::string previous_archive;   ///< Object with the entries before these; empty if there are none.
};

/// Entries moved out of `configuration/current`; archives form a chain from the newest to the oldest.
struct audit_archive {
    std::string previous_archive;
    std::vector<audit_entry> entries;
};

/// Name of the object that holds the accepted configuration.
inline constexpr auto current_object = "configuration/current";

} // namespace monsoonlift::configuration
