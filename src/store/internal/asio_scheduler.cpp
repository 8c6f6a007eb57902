#include "store/asio_scheduler.h"

#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace monsoonlift::store {

asio_scheduler::asio_scheduler(const boost::asio::any_io_executor& executor) : m_executor(executor) {}

void asio_scheduler::after(std::chrono::nanoseconds delay, std::function<void()> task) {
    auto timer = std::make_shared<boost::asio::steady_timer>(m_executor);
    timer->expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& failure) {
        if (!failure) {
            task();
        }
    });
}

} // namespace monsoonlift::store
