#pragma once

#include <string>

namespace monsoonlift::transport {

/// Where a daemon's transport stands in the network.
struct transport_addresses {
    std::string listen;          ///< "ip:port"; port 0 lets the system choose.
    std::string advertised = {}; ///< "ip:port" at which peers reach it; empty for the one it listens on.
    std::string source_ip = {};  ///< Connections to peers come from this ip; empty lets the system choose.
};

} // namespace monsoonlift::transport
