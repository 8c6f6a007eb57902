#pragma once

#include <cstddef>

namespace monsoonlift::configuration {

/// Maximum size of a document text: the platform's maximum value size less room for the audit trail and the
/// envelope.
inline constexpr std::size_t max_document_bytes = 800'000;

/// Maximum number of classes in a document; a rank must fit in four bits.
inline constexpr std::size_t max_classes = 16;

/// Number of audit entries stored with the document at which the older half is moved to an archive.
inline constexpr std::size_t max_kept_entries = 64;

/// Total JSON size of the audit entries stored with the document at which the older half is moved to an
/// archive.
inline constexpr std::size_t max_kept_entry_bytes = 100'000;

} // namespace monsoonlift::configuration
