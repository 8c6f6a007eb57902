#include "tools/internal/control_answer.h"

#include "tools/fault_reader.h"

#include <utility>

#include <boost/json.hpp>

namespace monsoonlift::tools::internal {

namespace http = boost::beast::http;

namespace {

simple_answer health(const fault_settings& faults) {
    const bool healthy = faults.lie || (!faults.refuse && !faults.hang);
    return {healthy ? http::status::ok : http::status::service_unavailable, R"({"health":"reported"})"};
}

simple_answer change_faults(backend_state& state, const std::string& json) {
    return core::settle([&] { return read_faults(json, state.faults()); },
                        [&](fault_settings changed) {
                            state.set_faults(std::move(changed));
                            return simple_answer{http::status::ok, "{}"};
                        },
                        [](const core::error& failure) {
                            const boost::json::object body{{"error", failure.message}};
                            return simple_answer{http::status::bad_request, boost::json::serialize(body)};
                        });
}

} // namespace

simple_answer control_answer(backend_state& state, const received_request& request) {
    const std::string& path = request.target.path;
    if (path == "/runs") {
        return {http::status::ok, state.runs_json()};
    }
    if (path == "/stats") {
        return {http::status::ok, state.stats_json()};
    }
    if (path == "/tokens") {
        return {http::status::ok, state.tokens_json()};
    }
    if (path == "/load") {
        return {http::status::ok, state.load_json()};
    }
    if (path == "/health") {
        return health(state.faults());
    }
    return change_faults(state, request.echo);
}

} // namespace monsoonlift::tools::internal
