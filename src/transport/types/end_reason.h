#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonlift::transport {

/// Why an attempt ended, beyond its verdict.
enum class end_reason : std::uint8_t {
    answered,        ///< The backend server's answer is complete.
    shed,            ///< Refused by the threshold or the queue of the gate.
    draining,        ///< The gate is draining and accepts no new work.
    no_backend,      ///< No backend server is registered, or it refuses connections.
    deadline,        ///< The deadline passed.
    cancelled,       ///< The entry cancelled the attempt.
    backend_failed,  ///< The backend server aborted its answer.
    backend_refused, ///< The backend server reported that it did not run the request.
    body_damaged,    ///< The request body that arrived differs from the one that the entry sent.
    key_conflict,    ///< The idempotency key was used for a different request.
    already_running, ///< A request with the same idempotency key may have run.
    wrong_service,   ///< The gate's backend server belongs to another service.
    wrong_home,      ///< Another gate is the home of the idempotency key.
    home_unknown,    ///< The home of the idempotency key is not known or is being handed over.
    refused_key, ///< The key is expired or not yet valid, or the outcome of its earlier request is unclear.
    quarantined  ///< The request crashed backend servers.
};

/// The spelling used in logs and metrics.
[[nodiscard]] std::string_view to_string(end_reason reason);

} // namespace monsoonlift::transport
