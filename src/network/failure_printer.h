#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace monsoonlift::network {

/// Tells failures to accept on standard error, for the tools, which have no event log.
[[nodiscard]] std::function<void(const std::string&, std::uint64_t)> print_failures(std::string program);

} // namespace monsoonlift::network
