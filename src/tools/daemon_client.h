#pragma once

#include "tools/types/backend_options.h"

#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace monsoonlift::tools {

/// What a nested call needs of the call that it belongs to.
struct nested_call {
    nested_target target;
    std::string context; ///< Monsoonlift-Context, passed on as it came.
    std::string key;     ///< Key of the outer call; the nested one is derived from it. Empty for none.
    std::string token;
};

/// Makes nested calls through the local daemon over one kept connection. Used on one strand.
class nested_client {
public:
    /// Calls go to the caller address `daemon`.
    nested_client(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& daemon);

    /// True if the call was answered whole with status 200.
    [[nodiscard]] boost::asio::awaitable<bool> call(const nested_call& nested);

    /// Breaks the call that is under way.
    void cancel();

private:
    [[nodiscard]] boost::asio::awaitable<bool> connect();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::ip::tcp::endpoint m_daemon;
};

/// The key that a nested call to `service` carries: the same for each resend of the outer call.
[[nodiscard]] std::string derive_key(const std::string& outer_key, const std::string& service);

/// POST of a JSON body over a connection of its own; true if answered with a 2xx status within `patience`.
[[nodiscard]] boost::asio::awaitable<bool> post_json(boost::asio::ip::tcp::endpoint server, std::string path,
                                                     std::string body, std::chrono::milliseconds patience);

} // namespace monsoonlift::tools
