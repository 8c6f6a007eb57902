/// Encodes and decodes datagrams between daemons: protobuf on the wire, plain structs in the process.
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

/// Upper bound for the encoded size of a message without its member records and rumors.
inline constexpr std::size_t message_overhead_bytes = 200;

/// Longest name of a fleet in bytes.
inline constexpr std::size_t max_fleet_bytes = 32;

/// Encodes a message as a datagram.
[[nodiscard]] std::string encode(const swim_message& message);

/// Decodes a datagram; returns nothing if it is malformed or has another protocol version.
[[nodiscard]] std::optional<swim_message> decode(std::string_view datagram);

/// Upper bound for the bytes that a member record takes in a datagram.
[[nodiscard]] std::size_t encoded_bytes(const member& record);

/// Upper bound for the bytes that a rumor takes in a datagram.
[[nodiscard]] std::size_t encoded_bytes(const rumor& record);

} // namespace monsoonlift::membership
