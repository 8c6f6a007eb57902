#pragma once

#include "core/system_clock.h"
#include "testing/silent_log.h"
#include "transport/internal/framing.h"
#include "transport/tcp_transport.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace monsoonlift::transport::testing {

/// Records received, unsent and partially sent frames; the accessors wait up to 10 s for `count` of them.
class recorder {
public:
    frame_handlers handlers() {
        return {[this](frame message) { add(m_frames, std::move(message)); },
                [this](const unsent_frame& unsent) { add(m_unsent, unsent); },
                [this](const unsent_frame& cut) { add(m_cut, cut); },
                [this](const frame& message) {
                    add(m_misdirected, message);
                }};
    }

    std::vector<frame> frames(std::size_t count) { return wait_for(m_frames, count); }
    std::vector<frame> misdirected(std::size_t count) { return wait_for(m_misdirected, count); }
    std::vector<unsent_frame> unsent(std::size_t count) { return wait_for(m_unsent, count); }
    std::vector<unsent_frame> cut(std::size_t count) { return wait_for(m_cut, count); }

private:
    template <class T> void add(std::vector<T>& list, T item) {
        const std::scoped_lock lock(m_mutex);
        list.push_back(std::move(item));
        m_changed.notify_all();
    }

    template <class T> std::vector<T> wait_for(std::vector<T>& list, std::size_t count) {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::seconds(10), [&] { return list.size() >= count; });
        return list;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<frame> m_frames;
    std::vector<frame> m_misdirected;
    std::vector<unsent_frame> m_unsent;
    std::vector<unsent_frame> m_cut;
};

/// Two transports that share an io_context run by two threads.
struct two_daemons {
    explicit two_daemons(const transport_options& left_options = {"127.0.0.1:0"},
                         const core::clock* time = nullptr)
        : clock{time == nullptr ? system_time : *time}, left{io, left_options, {1}, clock, log} {
        left.start(left_seen.handlers());
        right.start(right_seen.handlers());
        for (int index = 0; index < 2; ++index) {
            threads.emplace_back([this] { io.run(); });
        }
    }

    two_daemons(const two_daemons&) = delete;
    two_daemons& operator=(const two_daemons&) = delete;

    ~two_daemons() {
        io.stop();
        for (auto& thread : threads) {
            thread.join();
        }
    }

    core::system_clock system_time;
    const core::clock& clock;
    monsoonlift::testing::silent_log log;
    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{io.get_executor()};
    recorder left_seen;
    recorder right_seen;
    tcp_transport left;
    tcp_transport right{io, {"127.0.0.1:0"}, {2}, clock, log};
    std::vector<std::thread> threads;
};

/// Returns a small frame identified by its call number.
inline frame credit_frame(std::uint64_t call) {
    frame message;
    message.attempt = {{1}, call, 0};
    message.payload = credit{static_cast<std::uint32_t>(call)};
    return message;
}

/// A raw TCP connection of a client that is not a daemon.
class raw_client {
public:
    explicit raw_client(const std::string& address) {
        const auto colon = address.rfind(':');
        const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), port});
    }

    void write(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }

    /// Waits for the next byte or the end of the connection; returns whether the peer closed the connection.
    bool is_closed() {
        char byte = 0;
        boost::system::error_code failure;
        m_socket.read_some(boost::asio::buffer(&byte, 1), failure);
        return failure == boost::asio::error::eof || failure == boost::asio::error::connection_reset;
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket{m_io};
};

} // namespace monsoonlift::transport::testing
