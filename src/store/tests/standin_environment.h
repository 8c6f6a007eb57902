#pragma once

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "app/platform_standin/standin_server.h"
#include "store/http_client.h"
#include "store/tests/contract_environment.h"

namespace monsoonlift::store::tests {

/// The platform stand-in and a client of it on one thread; derived classes supply the client under test.
class standin_environment : public contract_environment {
public:
    void run_until(const std::function<bool()>& reached) override {
        m_context.restart();
        while (!reached() && m_context.run_one() > 0) {
        }
    }

    void set_outage(bool outage, bool silent) override {
        post("/faults", std::string("{\"outage\":") + (outage ? "true" : "false") +
                            ",\"silent\":" + (silent ? "true" : "false") + "}");
    }

    void lose_answers(bool lost) override {
        post("/faults", lost ? "{\"lose_answers\":1}" : "{\"lose_answers\":0}");
    }

    /// Sends a POST to the stand-in with a separate client, not the one under test.
    void post(const std::string& target, const std::string& body) {
        bool ended = false;
        m_http.send(m_server.address(), {"POST", target, body, {}}, std::chrono::seconds(5),
                    [&ended](const core::result<http_reply>&) { ended = true; });
        run_until([&ended] { return ended; });
    }

protected:
    [[nodiscard]] boost::asio::io_context& context() { return m_context; }
    [[nodiscard]] platform_standin::standin_server& server() { return m_server; }

private:
    boost::asio::io_context m_context{1};
    platform_standin::standin_server m_server{m_context, {boost::asio::ip::address_v4::loopback(), 0}, 1};
    http_client m_http{m_context.get_executor()};
};

} // namespace monsoonlift::store::tests
