#pragma once

#include "core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace monsoonlift::transfer {

/// Calls a handler once at a time limit, unless the limit is extended before. Use on one strand only.
class watchdog : public std::enable_shared_from_this<watchdog> {
public:
    /// Inactive before start().
    explicit watchdog(const boost::asio::any_io_executor& strand) : m_strand(strand), m_timer(strand) {}

    /// Starts the timer; `expired` runs on the strand.
    void start(core::steady_time until, std::function<void()> expired) {
        m_until = until;
        m_expired = std::move(expired);
        wait();
    }

    /// Changes the time limit; an earlier one takes effect at once.
    void allow_until(core::steady_time until) {
        m_until = until;
        // NOTE: a timer that is due before the limit stays as it is and is set again when it is due.
        if (until < m_timer.expiry() && m_expired) {
            m_timer.cancel();
        }
    }

    /// Stops the timer; the handler is released and will not run.
    void stop() {
        m_expired = nullptr;
        m_timer.cancel();
    }

private:
    void wait() {
        m_timer.expires_at(m_until);
        m_timer.async_wait(boost::asio::bind_executor(
            m_strand, [self = shared_from_this()](const boost::system::error_code&) { self->woken(); }));
    }

    void woken() {
        if (!m_expired) {
            return;
        }
        if (boost::asio::steady_timer::clock_type::now() < m_until) {
            wait();
            return;
        }
        std::exchange(m_expired, nullptr)();
    }

    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    core::steady_time m_until;
    std::function<void()> m_expired;
};

} // namespace monsoonlift::transfer
