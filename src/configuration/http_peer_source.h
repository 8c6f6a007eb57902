#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "configuration/peer_source.h"
#include "store/http_client.h"

namespace monsoonlift::configuration {

/// Fetches configurations with GET /configuration from the administration ports of peers.
class http_peer_source final : public peer_source {
public:
    /// Handlers run on `executor`.
    explicit http_peer_source(const boost::asio::any_io_executor& executor);

    void fetch(const std::string& admin_address, std::chrono::milliseconds patience, handler done) override;

private:
    store::http_client m_client;
};

} // namespace monsoonlift::configuration
