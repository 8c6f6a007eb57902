#pragma once

#include "core/types/call_ids.h"

#include <cstdint>
#include <string>

namespace monsoonlift::membership {

/// Status of a member. Of two records with the same incarnation and `update_number`, the later enumerator
/// wins.
enum class member_status : std::uint8_t { alive, suspect, dead, left };

/// One daemon and its local backend server.
struct member {
    core::endpoint_id id;           ///< Transport address and incarnation.
    std::string membership_address; ///< "ip:port" for probes.
    std::string admin_address; ///< "ip:port" of its HTTP server for administration, health, configuration.
    std::string name;
    std::string data_centre;
    std::string service; ///< Service of its backend server; empty while none is registered.
    member_status status = member_status::alive;
    bool draining = false;
    std::uint64_t update_number = 0; ///< Raised by the member itself with every change or refutation.

    bool operator==(const member&) const = default;
};

/// True if `candidate` replaces `known`; both are records for the same transport address.
[[nodiscard]] bool supersedes(const member& candidate, const member& known);

/// True if `later`, a record of a later incarnation at a daemon's own address, is of the daemon's
/// predecessor: it has the daemon's name or is dead. Incarnations come in this order if the time of day was
/// set back between the two starts.
[[nodiscard]] bool is_predecessor(const member& later, const std::string& own_name);

/// True if the member is considered up: alive or suspected.
[[nodiscard]] bool is_present(const member& candidate);

} // namespace monsoonlift::membership
