/// Datagrams between daemons: protobuf on the wire, plain structs inside.
#pragma once

#include "membership/types/swim_message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::membership {

/// Largest datagram sent; fits one Ethernet frame with room for tunnels.
inline constexpr std::size_t max_datagram_bytes = 1200;

/// Largest payload of a rumor.
inline constexpr std::size_t max_rumor_bytes = 900;

/// Bytes that a message takes without its news and rumors, at most.
inline constexpr std::size_t message_overhead_bytes = 200;

/// Longest name of a fleet.
inline constexpr std::size_t max_fleet_bytes = 32;

/// The datagram of a message.
[[nodiscard]] std::string encode(const swim_message& message);

/// The message in a datagram, or nothing if it is malformed or of another version.
[[nodiscard]] std::optional<swim_message> decode(std::string_view datagram);

/// Bytes that a member takes in a datagram, at most.
[[nodiscard]] std::size_t encoded_bytes(const member& record);

/// Bytes that a rumor takes in a datagram, at most.
[[nodiscard]] std::size_t encoded_bytes(const rumor& record);

} // namespace monsoonlift::membership
