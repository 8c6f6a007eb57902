#pragma once

#include <cstddef>

namespace monsoonlift::configuration {

/// The largest document text: what the platform stores less the room for the audit trail and the envelope.
inline constexpr std::size_t max_document_bytes = 800'000;

/// Most classes in a document; a rank fits four bits.
inline constexpr std::size_t max_classes = 16;

/// Audit entries that stay beside the document before the older half is moved to an archive.
inline constexpr std::size_t max_kept_entries = 64;

/// Size of the kept entries before the older half is moved to an archive.
inline constexpr std::size_t max_kept_entry_bytes = 100'000;

} // namespace monsoonlift::configuration
