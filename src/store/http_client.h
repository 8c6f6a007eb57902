/// HTTP/1.1 client for the platform's API and for peers' administration ports.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "core/error.h"
#include "store/types/http_message.h"

namespace monsoonlift::store {

namespace internal {
class connection_pool;
} // namespace internal

/// Sends requests over kept connections. Handlers run once each, on the executor given; requests under way
/// end by themselves after the client is gone.
class http_client {
public:
    /// Takes the answer or the error.
    using handler = std::function<void(core::result<http_reply>)>;

    /// No connection is open yet.
    explicit http_client(const boost::asio::any_io_executor& executor);

    /// Sends one request to "ip:port". An answer of any status is a value. Errors: unavailable (the request
    /// did not leave: verdict not_run), timeout (no answer, effect unknown: verdict may_have_run),
    /// invalid_input (no such address).
    void send(const std::string& address, http_request request, std::chrono::milliseconds patience,
              handler done);

private:
    std::shared_ptr<internal::connection_pool> m_pool;
};

} // namespace monsoonlift::store
