#pragma once

#include <boost/asio/any_io_executor.hpp>

#include "store/scheduler.h"

namespace monsoonlift::store {

/// Scheduler on Asio timers; pass a strand if the executor runs on several threads.
class asio_scheduler final : public scheduler {
public:
    /// Tasks run on `executor`.
    explicit asio_scheduler(const boost::asio::any_io_executor& executor);

    void after(std::chrono::nanoseconds delay, std::function<void()> task) override;

private:
    boost::asio::any_io_executor m_executor;
};

} // namespace monsoonlift::store
