#include "store/http_client.h"

#include <utility>

#include <boost/asio/dispatch.hpp>

#include "store/internal/connection_pool.h"
#include "store/internal/http_exchange.h"

namespace monsoonlift::store {

http_client::http_client(const boost::asio::any_io_executor& executor)
    : m_pool(std::make_shared<internal::connection_pool>(executor)) {}

void http_client::send(const std::string& address, http_request request, std::chrono::milliseconds patience,
                       handler done) {
    auto exchange = std::make_shared<internal::http_exchange>(m_pool, address, std::move(request), patience,
                                                              std::move(done));
    boost::asio::dispatch(m_pool->strand(), [exchange] { exchange->start(); });
}

} // namespace monsoonlift::store
