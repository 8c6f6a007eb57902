#pragma once

#include "tools/types/backend_options.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace monsoonlift::tools {

/// A nested call and the values that it takes over from the outer call.
struct nested_call {
    nested_target target;
    std::string context; ///< Monsoonlift-Context header of the outer call, passed on unchanged.
    std::string key;     ///< Idempotency key of the outer call, to derive the nested key; empty for none.
    std::string token;
};

/// Makes nested calls through the local daemon over one persistent connection. For use on one strand only.
class nested_client {
public:
    /// `daemon` is the caller address of the local daemon.
    nested_client(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& daemon);

    /// Returns true if the call was answered completely with status 200.
    [[nodiscard]] boost::asio::awaitable<bool> call(const nested_call& nested);

    /// Aborts the call in progress by closing the connection.
    void cancel();

private:
    [[nodiscard]] boost::asio::awaitable<bool> connect();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::ip::tcp::endpoint m_daemon;
};

/// Returns the idempotency key of a nested call to `service`: the same for each resend of the outer call.
[[nodiscard]] std::string derive_key(const std::string& outer_key, const std::string& service);

/// Sends a POST with a JSON body over a new connection; returns true on a 2xx answer within `timeout`.
[[nodiscard]] boost::asio::awaitable<bool> post_json(boost::asio::ip::tcp::endpoint server, std::string path,
                                                     std::string body, std::chrono::milliseconds timeout);

} // namespace monsoonlift::tools
