#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace monsoonlift::store::internal {

/// Idle connections by address. Use it only on its strand.
class connection_pool {
public:
    using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

    explicit connection_pool(const boost::asio::any_io_executor& executor);

    /// Removes and returns the most recently used idle connection to `address`; nullptr if none is fresh
    /// enough.
    [[nodiscard]] stream_ptr take(const std::string& address);

    /// Keeps a connection for the next request to `address`, or closes it if enough are kept.
    void give_back(const std::string& address, stream_ptr stream);

    /// Creates a stream that is not connected yet.
    [[nodiscard]] stream_ptr make_stream() const;

    /// Strand on which exchanges run.
    [[nodiscard]] const boost::asio::strand<boost::asio::any_io_executor>& strand() const { return m_strand; }

    /// Executor on which handlers run.
    [[nodiscard]] const boost::asio::any_io_executor& executor() const { return m_executor; }

private:
    struct idle_connection {
        stream_ptr stream;
        std::chrono::steady_clock::time_point since;
    };

    boost::asio::any_io_executor m_executor;
    boost::asio::strand<boost::asio::any_io_executor> m_strand;
    std::map<std::string, std::vector<idle_connection>> m_idle;
};

} // namespace monsoonlift::store::internal
