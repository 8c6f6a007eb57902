/// Control messages about the age of the configuration in force.
#pragma once

#include "configuration/types/freshness_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace monsoonlift::configuration {

/// Asks another daemon for its latest proof.
struct freshness_question {
    std::uint64_t number = 0;
};

/// A message of the topic.
using freshness_message = std::variant<freshness_question, freshness_answer>;

/// Encodes a message.
[[nodiscard]] std::string encode(const freshness_message& message);

/// Decodes a message; returns nothing if it is malformed.
[[nodiscard]] std::optional<freshness_message> decode_freshness_message(const std::string& payload);

} // namespace monsoonlift::configuration
