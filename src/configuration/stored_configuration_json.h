/// JSON form and digest of the stored configuration.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration/types/stored_configuration.h"

namespace monsoonlift::configuration {

/// Serializes a stored configuration; equal values give equal texts.
[[nodiscard]] std::string to_json(const stored_configuration& stored);

/// Serializes an archive of audit entries.
[[nodiscard]] std::string to_json(const audit_archive& archive);

/// Serializes one audit entry.
[[nodiscard]] std::string to_json(const audit_entry& entry);

/// Parses a stored configuration; returns nothing if the text is malformed or of another format number.
[[nodiscard]] std::optional<stored_configuration> parse_stored_configuration(std::string_view text);

/// Parses an archive of audit entries; returns nothing if the text is malformed.
[[nodiscard]] std::optional<audit_archive> parse_audit_archive(std::string_view text);

/// Computes the SHA-256 of revision, submission and document, as hexadecimal digits; empty if it fails.
[[nodiscard]] std::string digest_of(const stored_configuration& stored);

} // namespace monsoonlift::configuration
