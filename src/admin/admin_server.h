/// A small HTTP server for health checks, announcements of backend servers and administration.
#pragma once

#include "core/clock.h"
#include "logging/event_log.h"
#include "network/acceptor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::admin {

/// A request to the admin port.
struct admin_request {
    std::string method;
    std::string path; ///< Without the query.
    std::string body;
};

/// The response to an admin_request.
struct admin_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

using admin_handler = std::function<admin_response(const admin_request&)>;

/// Sends the response to one request; call it once, from any thread.
using admin_reply = std::function<void(admin_response)>;

/// Responds later through the admin_reply. A request without a response keeps its connection open until the
/// admin_reply is destroyed or the server ends.
using deferred_handler = std::function<void(const admin_request&, admin_reply)>;

/// Whether requests to a route must carry the admin token.
enum class access { open, token };

namespace internal {
class admin_state;
} // namespace internal

/// HTTP server of the admin port.
class admin_server {
public:
    /// Binds the address; throws boost::system::system_error if that fails. Routes with access::token refuse
    /// all requests if `token` is empty.
    admin_server(boost::asio::io_context& io, const std::string& address, const std::string& token,
                 const core::clock& clock, logging::event_log& log);

    /// Serves the connections that `connections` accepts.
    admin_server(network::listening_acceptor connections, const std::string& token, logging::event_log& log);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// Adds a route. A path that ends with a slash also serves the paths directly below it that have no route
    /// of their own. Call it before start(). Handlers may run on any thread.
    void route(const std::string& method, const std::string& path, access needed, admin_handler handler);

    /// Adds a route, as route() does, for a handler that responds later.
    void route_deferred(const std::string& method, const std::string& path, access needed,
                        deferred_handler handler);

    /// Starts accepting connections.
    void start();

    /// Stops accepting connections; connections that are open are served until they end.
    void stop();

    /// Returns the "ip:port" that was bound.
    [[nodiscard]] std::string address() const;

private:
    std::shared_ptr<internal::admin_state> m_state;
};

} // namespace monsoonlift::admin
