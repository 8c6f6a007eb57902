#pragma once

#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "app/platform_standin/standin_server.h"

namespace monsoonlift::monsoonctl::tests {

/// A platform stand-in that runs on its own thread.
class standin_thread {
public:
    standin_thread() {
        m_server.start();
        m_thread = std::thread([this] { m_context.run(); });
    }

    standin_thread(const standin_thread&) = delete;
    standin_thread& operator=(const standin_thread&) = delete;

    ~standin_thread() {
        m_context.stop();
        m_thread.join();
    }

    [[nodiscard]] std::string address() const { return m_address; }

private:
    boost::asio::io_context m_context{1};
    platform_standin::standin_server m_server{m_context, {boost::asio::ip::address_v4::loopback(), 0}, 1};
    std::string m_address = m_server.address();
    std::thread m_thread;
};

} // namespace monsoonlift::monsoonctl::tests
