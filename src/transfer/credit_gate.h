#pragma once

#include "core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>

namespace monsoonlift::transfer {

/// The sender's side of credit: chunks leave only while the receiver has allowed them. Used on one strand
/// only.
class credit_gate {
public:
    /// Without credit: nothing may be sent before grant().
    explicit credit_gate(const boost::asio::any_io_executor& strand) : m_wake(strand) {}

    /// Allows that many more chunks.
    void grant(std::uint32_t chunks) {
        m_chunks += chunks;
        m_wake.cancel();
    }

    /// Lets a waiting sender give up.
    void close() {
        m_closed = true;
        m_wake.cancel();
    }

    /// Waits until one chunk may be sent and takes it; false at the deadline or once closed.
    boost::asio::awaitable<bool> take(core::steady_time deadline) {
        while (m_chunks == 0 && !m_closed) {
            m_wake.expires_at(deadline);
            const auto [cancelled] =
                co_await m_wake.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (!cancelled && m_chunks == 0) {
                co_return false;
            }
        }
        if (m_closed) {
            co_return false;
        }
        --m_chunks;
        co_return true;
    }

private:
    std::uint64_t m_chunks = 0;
    boost::asio::steady_timer m_wake;
    bool m_closed = false;
};

} // namespace monsoonlift::transfer
