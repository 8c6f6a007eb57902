#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/error.h"

namespace monsoonlift::configuration {

/// Fetches the configurations that peers have in force.
class peer_source {
public:
    using handler = std::function<void(core::result<std::string>)>;

    peer_source() = default;
    peer_source(const peer_source&) = delete;
    peer_source& operator=(const peer_source&) = delete;
    virtual ~peer_source() = default;

    /// Fetches the JSON that configuration_holder::peer_copy() returns in the peer; fails after `patience`.
    virtual void fetch(const std::string& admin_address, std::chrono::milliseconds patience,
                       handler done) = 0;
};

} // namespace monsoonlift::configuration
