#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace monsoonlift::network {

/// Returns a handler that prints failures to accept to standard error, for the tools, which have no event
/// log.
[[nodiscard]] std::function<void(const std::string&, std::uint64_t)> print_failures(std::string program);

} // namespace monsoonlift::network
