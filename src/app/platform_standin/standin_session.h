#pragma once

#include <chrono>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "app/platform_standin/request_handler.h"
#include "app/platform_standin/standin_state.h"

namespace monsoonlift::platform_standin {

/// Serves one client connection; the object lives as long as the connection.
class standin_session : public std::enable_shared_from_this<standin_session> {
public:
    standin_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<standin_state> state);

    /// Serves requests until the connection closes.
    void start();

private:
    void read();
    void on_read(const boost::system::error_code& failure);
    void proceed(handling outcome);
    void wait(const pending_watch& watch);
    void wait_for_end_of_outage();
    void recheck_watch(bool expired);
    void answer(standin_reply reply);
    void write(standin_reply reply);
    void close();

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<standin_state> m_state;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::optional<pending_watch> m_watch;
    std::uint64_t m_callback_key = 0;
    std::chrono::steady_clock::time_point m_watch_ends;
};

} // namespace monsoonlift::platform_standin
