#pragma once

#include <string>

namespace monsoonlift::transport {

/// Network addresses of a daemon's transport.
struct transport_addresses {
    std::string listen;          ///< "ip:port"; port 0 lets the system choose.
    std::string advertised = {}; ///< "ip:port" at which peers reach the daemon; empty for the bound address.
    std::string source_ip = {};  ///< Source IP of connections to peers; empty lets the system choose.
};

} // namespace monsoonlift::transport
