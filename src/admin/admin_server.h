/// A small HTTP server for health, announcements and administration.
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

/// Its answer.
struct admin_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

using admin_handler = std::function<admin_response(const admin_request&)>;

/// Sends the answer of one request; called once, from any thread.
using admin_reply = std::function<void(admin_response)>;

/// Answers later; what it never answers keeps its connection until the caller leaves or the server ends.
using deferred_handler = std::function<void(const admin_request&, admin_reply)>;

/// Whether a route asks for the token.
enum class access { open, token };

namespace internal {
class admin_state;
} // namespace internal

/// Serves the routes it was given.
class admin_server {
public:
    /// Binds the address; throws boost::system::system_error if that fails. Routes with access::token are
    /// refused for everybody if `token` is empty.
    admin_server(boost::asio::io_context& io, const std::string& address, const std::string& token,
                 const core::clock& clock, logging::event_log& log);

    /// Serves the connections that `connections` accepts.
    admin_server(network::listening_acceptor connections, const std::string& token, logging::event_log& log);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    /// Adds a route; one that ends with a slash is taken for all paths below it. Call it before start().
    /// Handlers may run on any thread.
    void route(const std::string& method, const std::string& path, access needed, admin_handler handler);

    /// The same for a handler that answers later.
    void route_deferred(const std::string& method, const std::string& path, access needed,
                        deferred_handler handler);

    /// Begins to accept connections.
    void start();

    /// Accepts no more connections; those that are open end by themselves.
    void stop();

    /// "ip:port" that was bound.
    [[nodiscard]] std::string address() const;

private:
    std::shared_ptr<internal::admin_state> m_state;
};

} // namespace monsoonlift::admin
