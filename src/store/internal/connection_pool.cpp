#include "store/internal/connection_pool.h"

#include <utility>

namespace monsoonlift::store::internal {

namespace {

// NOTE: shorter than the idle time-out of servers, since a write on a connection that the server has just
// closed fails with an unknown effect.
constexpr std::chrono::seconds max_idle{5};
constexpr std::size_t max_kept_per_address = 4;
constexpr std::size_t max_addresses = 16;

} // namespace

connection_pool::connection_pool(const boost::asio::any_io_executor& executor)
    : m_executor(executor), m_strand(boost::asio::make_strand(executor)) {}

connection_pool::stream_ptr connection_pool::take(const std::string& address) {
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const auto now = std::chrono::steady_clock::now();
    auto& idle_streams = found->second;
    std::erase_if(idle_streams, [now](const idle_connection& idle) { return now - idle.since > max_idle; });
    if (idle_streams.empty()) {
        m_idle.erase(found);
        return nullptr;
    }
    auto stream = std::move(idle_streams.back().stream);
    idle_streams.pop_back();
    return stream;
}

void connection_pool::give_back(const std::string& address, stream_ptr stream) {
    if (m_idle.size() >= max_addresses) {
        m_idle.clear();
    }
    auto& idle_streams = m_idle[address];
    if (idle_streams.size() < max_kept_per_address) {
        idle_streams.push_back({std::move(stream), std::chrono::steady_clock::now()});
    }
}

connection_pool::stream_ptr connection_pool::make_stream() const {
    return std::make_unique<boost::beast::tcp_stream>(m_strand);
}

} // namespace monsoonlift::store::internal
