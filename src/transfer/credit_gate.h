#pragma once

#include "core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <optional>
#include <utility>

namespace monsoonlift::transfer {

/// Sender's side of credit-based flow control: limits chunks to the credit that the receiver has granted. Use
/// on one strand only.
class credit_gate {
public:
    /// Starts without credit: no chunk may be sent before grant().
    explicit credit_gate(boost::asio::any_io_executor strand) : m_strand(std::move(strand)) {}

    /// Adds credit for that many chunks.
    void grant(std::uint32_t chunks) {
        m_chunks += chunks;
        wake();
    }

    /// Wakes a waiting sender; this and all later take() calls return false.
    void close() {
        m_closed = true;
        wake();
    }

    /// Waits for credit and uses it for one chunk; false at the deadline or once closed.
    boost::asio::awaitable<bool> take(core::steady_time deadline) {
        while (m_chunks == 0 && !m_closed) {
            const auto [cancelled] =
                co_await timer_until(deadline).async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
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
    boost::asio::steady_timer& timer_until(core::steady_time deadline) {
        if (!m_wake) {
            m_wake.emplace(m_strand);
        }
        m_wake->expires_at(deadline);
        return *m_wake;
    }

    void wake() {
        if (m_wake) {
            m_wake->cancel();
        }
    }

    boost::asio::any_io_executor m_strand;
    std::uint64_t m_chunks = 0;
    std::optional<boost::asio::steady_timer> m_wake; ///< Set from the first wait on.
    bool m_closed = false;
};

} // namespace monsoonlift::transfer
