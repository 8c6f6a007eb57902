#include "store/http_object_api.h"

#include <utility>

#include "store/http_target.h"
#include "store/object_wire.h"
#include "store/reply_reading.h"
#include "store/watch_grace.h"

namespace monsoonlift::store {

namespace {

std::string object_target(const std::string& name) {
    return "/objects/" + percent_encode(name);
}

} // namespace

http_object_api::http_object_api(const boost::asio::any_io_executor& executor,
                                 std::shared_ptr<const service_address> address)
    : m_client(executor), m_address(std::move(address)) {}

template <class T, class Parser>
void http_object_api::call(http_request&& request, std::chrono::milliseconds patience, Parser parse,
                           handler<T> done) {
    m_client.send(m_address->current(), std::move(request), patience,
                  [parse, done = std::move(done)](core::result<http_reply> answered) {
                      done(read_reply<T>(std::move(answered), parse));
                  });
}

void http_object_api::get(const std::string& name, std::chrono::milliseconds patience, handler<object> done) {
    call({"GET", object_target(name), {}, {}}, patience, parse_object, std::move(done));
}

void http_object_api::list(const std::string& prefix, std::chrono::milliseconds patience,
                           handler<object_list> done) {
    call({"GET", "/list?prefix=" + percent_encode(prefix), {}, {}}, patience, parse_object_list,
         std::move(done));
}

void http_object_api::update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                                std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    auto target = object_target(name) + "?expected_version=" + std::to_string(expected_version);
    call({"PUT", std::move(target), std::move(value), {}}, patience, parse_version, std::move(done));
}

void http_object_api::remove_if(const std::string& name, std::uint64_t expected_version,
                                std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    auto target = object_target(name) + "?expected_version=" + std::to_string(expected_version);
    call({"DELETE", std::move(target), {}, {}}, patience, parse_version, std::move(done));
}

void http_object_api::watch(const std::string& prefix, std::uint64_t revision,
                            std::chrono::milliseconds patience, handler<watch_result> done) {
    auto target = "/watch?prefix=" + percent_encode(prefix) + "&revision=" + std::to_string(revision) +
                  "&patience_ms=" + std::to_string(patience.count());
    call({"GET", std::move(target), {}, {}}, patience + watch_grace(patience), parse_watch_result,
         std::move(done));
}

} // namespace monsoonlift::store
