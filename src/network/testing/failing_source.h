#pragma once

#include "network/connection_source.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <memory>
#include <utility>

namespace monsoonlift::network::testing {

/// Fails the first accepts for lack of file descriptors, as the system does while connections stay queued;
/// then accepts from a real source.
class failing_source final : public connection_source {
public:
    failing_source(boost::asio::io_context& io, std::shared_ptr<connection_source> real, int failures)
        : m_io(io), m_real(std::move(real)), m_failures_left(failures) {}

    void accept(accepted_handler done) override {
        ++m_asked;
        if (m_failures_left == 0) {
            m_real->accept(std::move(done));
            return;
        }
        --m_failures_left;
        boost::asio::post(m_io, [this, done = std::move(done)] {
            ++m_failed;
            done(boost::asio::error::no_descriptors, boost::asio::ip::tcp::socket(m_io));
        });
    }

    void close() override { m_real->close(); }

    /// Returns the number of calls of accept().
    [[nodiscard]] int asked() const { return m_asked; }

    /// Returns the number of accepts that have failed so far.
    [[nodiscard]] int failed() const { return m_failed; }

private:
    boost::asio::io_context& m_io;
    std::shared_ptr<connection_source> m_real;
    int m_failures_left;
    int m_asked = 0;
    int m_failed = 0;
};

} // namespace monsoonlift::network::testing
