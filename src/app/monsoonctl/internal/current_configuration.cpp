#include "app/monsoonctl/internal/current_configuration.h"

#include <string>
#include <utility>

#include "configuration/audit_trail.h"
#include "configuration/stored_configuration_json.h"

namespace monsoonlift::monsoonctl {

namespace model = monsoonlift::configuration;

namespace {

constexpr unsigned status_ok = 200;

} // namespace

store::settled<model::stored_configuration> read_current(const command_line& line, control_session& session) {
    const auto answer = session.wait<store::object>(
        [&](auto done) { session.api().get(model::current_object, line.patience, std::move(done)); });
    if (!answer.value) {
        auto failure = answer.failure;
        if (failure.code == core::error_code::not_found) {
            failure.message = nothing_accepted;
        }
        return {std::nullopt, failure};
    }
    auto stored = model::parse_stored_configuration(answer.value->value);
    if (!stored) {
        return {std::nullopt,
                {core::error_code::internal, "configuration/current does not hold a stored configuration"}};
    }
    return {std::move(stored), {}};
}

store::settled<std::string> get_from_daemon(const command_line& line, const std::string& path,
                                            control_session& session) {
    auto answer = session.wait<store::http_reply>([&](auto done) {
        session.http().send(line.daemon, {"GET", path, {}, {}}, line.patience, std::move(done));
    });
    if (!answer.value) {
        return {std::nullopt, answer.failure};
    }
    if (answer.value->status != status_ok) {
        return {std::nullopt,
                {core::error_code::not_found,
                 "the daemon answered GET " + path + " with status " + std::to_string(answer.value->status)}};
    }
    return {std::move(answer.value->body), {}};
}

store::settled<model::stored_configuration> read_configuration_of_daemon(const command_line& line,
                                                                         control_session& session) {
    const auto answer = get_from_daemon(line, "/configuration", session);
    if (!answer.value) {
        return {std::nullopt, answer.failure};
    }
    auto stored = model::parse_stored_configuration(*answer.value);
    if (!stored) {
        return {std::nullopt, {core::error_code::internal, "the daemon's answer holds no configuration"}};
    }
    return {std::move(stored), {}};
}

} // namespace monsoonlift::monsoonctl
