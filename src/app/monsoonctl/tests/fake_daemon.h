#pragma once

#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace monsoonlift::monsoonctl::tests {

/// Answers one request, or one for each body in a list, with a fixed JSON body and records the last request.
class fake_daemon {
public:
    explicit fake_daemon(std::string answer) : fake_daemon(std::vector<std::string>{std::move(answer)}) {}

    explicit fake_daemon(std::vector<std::string> answers)
        : m_thread([this, answers = std::move(answers)] {
              for (const auto& answer : answers) {
                  serve(answer);
              }
          }) {}

    fake_daemon(const fake_daemon&) = delete;
    fake_daemon& operator=(const fake_daemon&) = delete;

    ~fake_daemon() {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    /// Returns the last raw request; blocks until all were answered.
    [[nodiscard]] std::string request() {
        m_thread.join();
        return m_request;
    }

private:
    void serve(const std::string& answer) {
        constexpr std::size_t largest_request = 4096;
        auto socket = m_acceptor.accept();
        m_request.resize(largest_request);
        m_request.resize(socket.read_some(boost::asio::buffer(m_request)));
        const auto reply = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(answer.size()) +
                           "\r\nConnection: close\r\n\r\n" + answer;
        boost::asio::write(socket, boost::asio::buffer(reply));
    }

    boost::asio::io_context m_context{1};
    boost::asio::ip::tcp::acceptor m_acceptor{m_context, {boost::asio::ip::address_v4::loopback(), 0}};
    std::string m_request;
    std::thread m_thread;
};

} // namespace monsoonlift::monsoonctl::tests
