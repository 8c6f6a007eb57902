/// JSON form and digest of the stored configuration.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "configuration/types/stored_configuration.h"

namespace monsoonlift::configuration {

/// The JSON text; equal values give equal texts.
[[nodiscard]] std::string to_json(const stored_configuration& stored);

/// The JSON text of an archive of audit entries.
[[nodiscard]] std::string to_json(const audit_archive& archive);

/// The JSON text of one audit entry.
[[nodiscard]] std::string to_json(const audit_entry& entry);

/// The value of that text, or nothing if it can't be read.
[[nodiscard]] std::optional<stored_configuration> parse_stored_configuration(std::string_view text);

/// The archive of that text, or nothing if it can't be read.
[[nodiscard]] std::optional<audit_archive> parse_audit_archive(std::string_view text);

/// SHA-256 over revision, submission and document, in hexadecimal digits.
[[nodiscard]] std::string digest_of(const stored_configuration& stored);

} // namespace monsoonlift::configuration
