#pragma once

#include <chrono>
#include <string>

namespace monsoonlift::transport {

/// Network addresses and limits of a daemon's transport.
struct transport_options {
    std::string listen;          ///< "ip:port"; port 0 lets the system choose.
    std::string advertised = {}; ///< "ip:port" at which peers reach the daemon; empty for the bound address.
    std::string source_ip = {};  ///< Source IP of connections to peers; empty lets the system choose.
    /// A connection on which the peer's kernel acknowledges nothing for this long is broken.
    std::chrono::milliseconds silence_timeout{1000};
};

} // namespace monsoonlift::transport
