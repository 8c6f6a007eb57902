#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/system_clock.h"
#include "store/asio_scheduler.h"
#include "store/http_client.h"
#include "store/http_object_api.h"
#include "store/settled.h"

namespace monsoonlift::monsoonctl {

/// The connections of one run of monsoonctl, with blocking access to asynchronous calls.
class control_session {
public:
    /// `platform_address` is "ip:port" of the platform; the constructor opens no connection.
    explicit control_session(const std::string& platform_address);

    /// Starts a call and blocks until it completes.
    template <class T>
    store::settled<T> wait(const std::function<void(std::function<void(core::result<T>)>)>& begin) {
        store::settled<T> answer;
        begin([&answer](core::result<T> outcome) { answer = store::settle_result(std::move(outcome)); });
        run();
        return answer;
    }

    /// Blocks until all calls that were started have completed.
    void run();

    /// Client of the platform's object API.
    [[nodiscard]] store::object_api& api() { return m_api; }

    /// Client for requests to daemons.
    [[nodiscard]] store::http_client& http() { return m_http; }

    /// Scheduler whose tasks run during wait() and run().
    [[nodiscard]] store::scheduler& timer() { return m_timer; }

    [[nodiscard]] const core::clock& clock() const { return m_clock; }

private:
    boost::asio::io_context m_context;
    core::system_clock m_clock;
    store::asio_scheduler m_timer;
    store::http_client m_http;
    store::http_object_api m_api;
};

} // namespace monsoonlift::monsoonctl
