#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/error.h"
#include "core/http_read_buffer.h"
#include "store/http_client.h"
#include "store/internal/connection_pool.h"

namespace monsoonlift::store::internal {

/// One request and its answer. Keeps itself alive until its outcome is passed to the handler.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(std::shared_ptr<connection_pool> pool, std::string address, http_request request,
                  std::chrono::milliseconds patience, http_client::handler done);

    /// Starts the exchange; call it on the pool's strand.
    void start();

private:
    void connect();
    void on_connected(const boost::system::error_code& failure);
    void write();
    void on_written(const boost::system::error_code& failure);
    void read_answer();
    void on_read(const boost::system::error_code& failure);
    void on_stream_error(const boost::system::error_code& failure);
    void fail(const std::string& why);
    void finish(core::result<http_reply> outcome);

    std::shared_ptr<connection_pool> m_pool;
    std::string m_address;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::chrono::steady_clock::time_point m_deadline;
    std::vector<std::string> m_wanted_fields;
    http_client::handler m_done;
    connection_pool::stream_ptr m_stream;
    bool m_reused = false;
    core::http_read_buffer m_buffer;
    unsigned m_interim_answers = 0;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
};

/// Parses "ip:port"; returns nothing if `address` is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

} // namespace monsoonlift::store::internal
