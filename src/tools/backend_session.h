#pragma once

#include "tools/backend_state.h"

#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace monsoonlift::tools {

/// Starts serving one connection of a backend stand-in; the session lives until the connection ends. The
/// socket's executor must be a strand. `state` must outlive the session.
void start_backend_session(boost::asio::ip::tcp::socket socket, backend_state& state);

} // namespace monsoonlift::tools
