#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "core/error.h"

namespace monsoonlift::configuration {

/// Where a follower pulls a peer's configuration from.
class peer_source {
public:
    using handler = std::function<void(core::result<std::string>)>;

    peer_source() = default;
    peer_source(const peer_source&) = delete;
    peer_source& operator=(const peer_source&) = delete;
    virtual ~peer_source() = default;

    /// Fetches the JSON that the peer's configuration_holder gives as its peer copy.
    virtual void fetch(const std::string& admin_address, std::chrono::milliseconds patience,
                       handler done) = 0;
};

} // namespace monsoonlift::configuration
