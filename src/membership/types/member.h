#pragma once

#include "core/types/call_ids.h"

#include <cstdint>
#include <string>

namespace monsoonlift::membership {

/// What is believed of a member. Of two beliefs with the same news the later enumerator wins.
enum class member_status : std::uint8_t { alive, suspect, dead, left };

/// One daemon and the backend server beside it.
struct member {
    core::endpoint_id id;           ///< Transport address and incarnation.
    std::string membership_address; ///< "ip:port" for probes.
    std::string admin_address;      ///< "ip:port" of its HTTP for administration, health and configuration.
    std::string name;
    std::string data_centre;
    std::string service; ///< Service of its backend server; empty while none has announced itself.
    member_status status = member_status::alive;
    bool draining = false;
    std::uint64_t news = 0; ///< Rises with every change the member announces of itself.

    bool operator==(const member&) const = default;
};

/// True if the first belief replaces the second about the same address.
[[nodiscard]] bool supersedes(const member& candidate, const member& known);

/// True if the member is taken to be up: alive or merely suspected.
[[nodiscard]] bool is_present(const member& candidate);

} // namespace monsoonlift::membership
