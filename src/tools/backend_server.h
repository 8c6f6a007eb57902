#pragma once

#include "tools/backend_state.h"

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace monsoonlift::tools {

/// A backend stand-in: accepts connections, announces itself to its daemon and deregisters on request.
class backend_server : public std::enable_shared_from_this<backend_server> {
public:
    backend_server() = default;
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;
    virtual ~backend_server() = default;

    /// Address of the listening socket, "ip:port".
    [[nodiscard]] virtual std::string address() const = 0;

    /// Starts accepting connections and sending announcements to the daemon.
    virtual void start() = 0;

    /// Deregisters from the daemon, lets the requests in flight finish and stops the io_context.
    virtual void leave() = 0;
};

/// Opens the listening socket; throws boost::system::system_error if that fails.
[[nodiscard]] std::shared_ptr<backend_server> make_backend_server(boost::asio::io_context& context,
                                                                  backend_state& state);

} // namespace monsoonlift::tools
