/// A peer that sends bytes without end.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace monsoonlift::testing {

/// Sends a beginning, then the same bytes again and again, until the other side ends the connection or far
/// more was sent than a reader may hold. Must outlive the run of its io_context.
class pouring_peer {
public:
    static constexpr std::size_t most_bytes = 64 * 1024 * 1024;

    pouring_peer(boost::asio::ip::tcp::socket connected, std::string beginning, const std::string& repeated)
        : m_socket(std::move(connected)), m_next(std::move(beginning)) {
        while (m_piece.size() < piece_bytes) {
            m_piece += repeated;
        }
    }

    void start() {
        read();
        write();
    }

    /// Stops sending and receiving.
    void stop() {
        boost::system::error_code ignored;
        m_socket.close(ignored);
    }

    /// Whether it can't send any more, or has sent most_bytes.
    [[nodiscard]] bool has_ended() const { return m_has_ended; }
    [[nodiscard]] std::size_t sent() const { return m_sent; }

    /// All bytes received so far.
    [[nodiscard]] const std::string& received() const { return m_received; }

private:
    static constexpr std::size_t piece_bytes = 16 * 1024;

    void read() {
        boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(m_received),
                                boost::asio::transfer_at_least(1),
                                [this](const boost::system::error_code& failure, std::size_t) {
                                    if (!failure) {
                                        read();
                                    }
                                });
    }

    void write() {
        boost::asio::async_write(m_socket, boost::asio::buffer(m_next),
                                 [this](const boost::system::error_code& failure, std::size_t bytes) {
                                     m_sent += bytes;
                                     m_has_ended = failure || m_sent >= most_bytes;
                                     m_next = m_piece;
                                     if (!m_has_ended) {
                                         write();
                                     }
                                 });
    }

    boost::asio::ip::tcp::socket m_socket;
    std::string m_next;
    std::string m_piece;
    std::string m_received;
    std::size_t m_sent = 0;
    bool m_has_ended = false;
};

} // namespace monsoonlift::testing
