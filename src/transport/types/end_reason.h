#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonlift::transport {

/// Why an attempt ended, beyond its verdict.
enum class end_reason : std::uint8_t {
    answered,        ///< The backend server's answer is whole.
    shed,            ///< Refused by the threshold or the queue of the gate.
    draining,        ///< The gate takes no new work.
    no_backend,      ///< No backend server has announced itself, or it refuses connections.
    deadline,        ///< The deadline passed.
    cancelled,       ///< The entry asked for it.
    backend_failed,  ///< The backend server broke off.
    backend_refused, ///< The backend server said that it did not run the request.
    body_damaged,    ///< The request body did not arrive as its entry sent it.
    key_conflict,    ///< The key was used for another request.
    already_running, ///< A request of the same key may have run.
    wrong_service,   ///< The backend server beside the gate is of another service.
    wrong_home,      ///< Another gate is the home of the key.
    home_unknown,    ///< The home of the key is not known or is being handed over.
    refused_key,     ///< The key is not valid any more or not yet, or an earlier request of it is unclear.
    quarantined      ///< The request crashed backend servers.
};

/// The spelling used in logs and metrics.
[[nodiscard]] std::string_view to_string(end_reason reason);

} // namespace monsoonlift::transport
