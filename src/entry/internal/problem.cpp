#include "entry/types/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace monsoonlift::entry {

namespace {

constexpr unsigned status_unauthorized = 401;

} // namespace

std::string to_json(const problem& trouble) {
    const boost::json::object document{{"type", "urn:monsoonlift:problem:" + trouble.type},
                                       {"title", trouble.title},
                                       {"status", trouble.status},
                                       {"detail", trouble.detail},
                                       {"verdict", core::to_string(trouble.run)}};
    return boost::json::serialize(document);
}

transport::response_head to_response_head(const problem& trouble) {
    transport::response_head head;
    head.status = trouble.status;
    head.headers.push_back({"Content-Type", "application/problem+json"});
    if (trouble.retry_after) {
        const auto seconds_rounded_up = std::chrono::ceil<std::chrono::seconds>(*trouble.retry_after);
        head.headers.push_back(
            {"Retry-After", std::to_string(std::max<std::int64_t>(seconds_rounded_up.count(), 1))});
    }
    if (trouble.status == status_unauthorized) {
        head.headers.push_back({"WWW-Authenticate", "Token"});
    }
    head.body = to_json(trouble);
    return head;
}

} // namespace monsoonlift::entry
