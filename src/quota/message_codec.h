/// Encodes and decodes the payload of control messages about quotas.
#pragma once

#include "quota/types/quota_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::quota {

[[nodiscard]] std::string encode(const ask_message& message);
[[nodiscard]] std::string encode(const grant_message& message);

/// Returns nothing if the payload is malformed or names a shard that does not exist.
[[nodiscard]] std::optional<quota_message> decode(std::string_view payload);

} // namespace monsoonlift::quota
