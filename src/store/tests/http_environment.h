#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "app/platform_standin/standin_server.h"
#include "store/http_client.h"
#include "store/http_object_api.h"
#include "store/tests/contract_environment.h"

namespace monsoonlift::store::tests {

/// The HTTP client against the stand-in, both on one thread.
class http_environment final : public contract_environment {
public:
    http_environment() { m_server.start(); }

    object_api& api() override { return m_api; }

    void run_until(const std::function<bool()>& reached) override {
        m_context.restart();
        while (!reached() && m_context.run_one() > 0) {
        }
    }

    void set_outage(bool outage, bool silent) override {
        post_faults(std::string("{\"outage\":") + (outage ? "true" : "false") +
                    ",\"silent\":" + (silent ? "true" : "false") + "}");
    }

    void lose_answers(bool lost) override {
        post_faults(lost ? "{\"lose_answers\":1}" : "{\"lose_answers\":0}");
    }

private:
    void post_faults(const std::string& body) {
        bool ended = false;
        m_http.send(m_server.address(), {"POST", "/faults", body, {}}, std::chrono::seconds(5),
                    [&ended](const core::result<http_reply>&) { ended = true; });
        run_until([&ended] { return ended; });
    }

    boost::asio::io_context m_context{1};
    platform_standin::standin_server m_server{m_context, {boost::asio::ip::address_v4::loopback(), 0}, 1};
    http_client m_http{m_context.get_executor()};
    http_object_api m_api{m_context.get_executor(), m_server.address()};
};

} // namespace monsoonlift::store::tests
