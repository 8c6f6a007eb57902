#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace monsoonlift::configuration {

/// Maximum size of a document text: the platform's maximum value size less room for the audit trail and the
/// envelope.
inline constexpr std::size_t max_document_bytes = 800'000;

/// Highest values of a route, of a service and of the time that callers keep connections.
inline constexpr std::uint64_t max_route_attempts = 16;
inline constexpr std::uint64_t max_weight = 1'000'000;
inline constexpr std::chrono::milliseconds max_route_time = std::chrono::hours(1);
inline constexpr std::chrono::milliseconds max_caller_idle_time = std::chrono::hours(24);
inline constexpr std::uint64_t max_connections = 1'000'000;

/// Highest rate of an account in calls per second, and its largest burst in calls.
inline constexpr double max_account_rate = 1e9;

/// What a document may contain, beyond what its syntax requires.
struct document_limits {
    std::size_t bytes = max_document_bytes; ///< Size of its text.
    std::size_t routes = 5'000;
    std::size_t services = 2'000;
    std::size_t fewest_services = 1;
    std::size_t name_length = 64;       ///< Of a service, a call or a route.
    bool plain_text = true;             ///< Names and paths are limited to some visible ASCII characters.
    bool skips_faulty_accounts = false; ///< Leaves them out instead of refusing the document.
};

/// Limits of a document that is submitted, so that an operator is told at once.
inline constexpr document_limits submitted_limits{};

/// Limits of a document that was accepted elsewhere. A daemon that refused it would go on with the one
/// before, so these only keep a damaged text from taking all memory.
inline constexpr document_limits accepted_limits{16'000'000, 200'000, 200'000, 0, 4'096, false, true};

/// Maximum number of classes in a document; a rank must fit in four bits.
inline constexpr std::size_t max_classes = 16;

/// Number of audit entries stored with the document at which the older half is moved to an archive.
inline constexpr std::size_t max_kept_entries = 64;

/// Total JSON size of the audit entries stored with the document at which the older half is moved to an
/// archive.
inline constexpr std::size_t max_kept_entry_bytes = 100'000;

} // namespace monsoonlift::configuration
