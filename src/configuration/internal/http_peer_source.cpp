#include "configuration/http_peer_source.h"

#include <utility>

#include "store/settled.h"

namespace monsoonlift::configuration {

namespace {

constexpr unsigned status_ok = 200;

core::result<std::string> body_of(core::result<store::http_reply> answered) {
    auto answer = store::settle_result(std::move(answered));
    if (!answer.value) {
        return core::captured_failure<std::string>(answer.failure);
    }
    if (answer.value->status != status_ok) {
        return core::captured_failure<std::string>(
            {core::error_code::not_found, "status " + std::to_string(answer.value->status)});
    }
    return std::move(answer.value->body);
}

} // namespace

http_peer_source::http_peer_source(const boost::asio::any_io_executor& executor) : m_client(executor) {}

void http_peer_source::fetch(const std::string& admin_address, std::chrono::milliseconds patience,
                             handler done) {
    m_client.send(admin_address, {"GET", "/configuration", {}, {}}, patience,
                  [done = std::move(done)](core::result<store::http_reply> answered) {
                      done(body_of(std::move(answered)));
                  });
}

} // namespace monsoonlift::configuration
