#pragma once

#include "core/clock.h"
#include "tools/types/relay_options.h"

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace monsoonlift::tools {

/// A TCP relay that delays the data it forwards, to simulate a link between data centres.
class relay {
public:
    relay() = default;
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    virtual ~relay() = default;

    /// Address of the listening socket, "ip:port".
    [[nodiscard]] virtual std::string address() const = 0;

    /// Starts accepting connections.
    virtual void start() = 0;
};

/// Opens the listening socket; throws if an address is invalid or in use. One thread must run `context`.
[[nodiscard]] std::unique_ptr<relay> make_relay(boost::asio::io_context& context, const core::clock& clock,
                                                const relay_options& options);

} // namespace monsoonlift::tools
