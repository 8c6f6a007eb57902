#pragma once

#include "transport/internal/tcp_address.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace monsoonlift::transport::testing {

/// Relays connections to a daemon, one way. On demand it swallows the next bytes of a connection, as a link
/// that breaks does, and resets the connection.
class swallowing_relay {
public:
    explicit swallowing_relay(const std::string& target) : m_target(*internal::parse_address(target)) {
        accept();
        m_thread = std::thread([this] { m_io.run(); });
    }

    swallowing_relay(const swallowing_relay&) = delete;
    swallowing_relay& operator=(const swallowing_relay&) = delete;

    ~swallowing_relay() {
        m_io.stop();
        m_thread.join();
    }

    [[nodiscard]] std::string address() const { return internal::to_text(m_acceptor.local_endpoint()); }

    /// The bytes that arrive next are swallowed.
    void swallow_next() {
        std::promise<void> done;
        boost::asio::post(m_io, [&] {
            m_swallows = true;
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    struct relayed {
        explicit relayed(boost::asio::io_context& io) : from(io), to(io) {}

        boost::asio::ip::tcp::socket from;
        boost::asio::ip::tcp::socket to;
        std::array<char, 4096> bytes{};
    };

    void accept() {
        auto next = std::make_shared<relayed>(m_io);
        m_acceptor.async_accept(next->from, [this, next](const boost::system::error_code& failure) {
            if (failure) {
                return;
            }
            boost::system::error_code refused;
            next->to.connect(m_target, refused);
            if (!refused) {
                read(next);
            }
            accept();
        });
    }

    void read(const std::shared_ptr<relayed>& one) {
        one->from.async_read_some(boost::asio::buffer(one->bytes),
                                  [this, one](const boost::system::error_code& failure, std::size_t count) {
                                      if (failure) {
                                          return;
                                      }
                                      if (std::exchange(m_swallows, false)) {
                                          reset(*one);
                                          return;
                                      }
                                      boost::system::error_code ended;
                                      boost::asio::write(one->to, boost::asio::buffer(one->bytes, count),
                                                         ended);
                                      read(one);
                                  });
    }

    static void reset(relayed& one) {
        boost::system::error_code ignored;
        one.from.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        one.from.close(ignored);
    }

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_io.get_executor()};
    const boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor{m_io, {boost::asio::ip::address_v4::loopback(), 0}};
    bool m_swallows = false;
    std::thread m_thread;
};

} // namespace monsoonlift::transport::testing
