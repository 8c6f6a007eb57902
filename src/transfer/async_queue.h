#pragma once

#include "core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <list>
#include <optional>
#include <utility>

namespace monsoonlift::transfer {

/// Queue read by one coroutine; takes no memory until an item or a reader comes. Use on one strand only.
template <class Item> class async_queue {
public:
    /// Creates an open, empty queue.
    explicit async_queue(boost::asio::any_io_executor strand) : m_strand(std::move(strand)) {}

    /// Adds an item; ignored once the queue is closed.
    void push(Item item) {
        if (m_closed) {
            return;
        }
        m_items.push_back(std::move(item));
        wake();
    }

    /// Closes the queue and wakes the waiting coroutine; queued items can still be read.
    void close() {
        m_closed = true;
        wake();
    }

    /// Whether close() was called.
    [[nodiscard]] bool is_closed() const { return m_closed; }

    /// Waits for the next item; nullopt at the deadline or once the queue is closed and empty.
    boost::asio::awaitable<std::optional<Item>> next(core::steady_time deadline) {
        while (m_items.empty() && !m_closed) {
            const auto [cancelled] =
                co_await timer_until(deadline).async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (!cancelled && m_items.empty()) {
                co_return std::nullopt;
            }
        }
        if (m_items.empty()) {
            co_return std::nullopt;
        }
        auto item = std::move(m_items.front());
        m_items.pop_front();
        co_return item;
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
    std::list<Item> m_items;
    std::optional<boost::asio::steady_timer> m_wake; ///< Set from the first wait on.
    bool m_closed = false;
};

} // namespace monsoonlift::transfer
