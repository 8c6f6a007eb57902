#include "app/monsoonctl/commands.h"

#include <utility>

#include <boost/json.hpp>

#include "app/monsoonctl/result_format.h"

namespace monsoonlift::monsoonctl {

namespace json = boost::json;

namespace {

constexpr unsigned first_error_status = 400;

store::http_header authorization(const std::string& token) {
    return {"Authorization", "Bearer " + token};
}

exit_code print_daemon_answer(const store::settled<store::http_reply>& answer, console& out) {
    if (!answer.value) {
        return out.print_failure(exit_code_of(answer.failure), answer.failure.message);
    }
    if (answer.value->status >= first_error_status) {
        return out.print_failure(exit_code::refused, "the daemon refused with status " +
                                                         std::to_string(answer.value->status) + ": " +
                                                         answer.value->body);
    }
    boost::system::error_code failure;
    const auto parsed = json::parse(answer.value->body, failure);
    const auto fields =
        !failure && parsed.is_object() ? parsed.as_object() : json::object{{"answer", answer.value->body}};
    return out.print_result(exit_code::ok, answer.value->body.empty() ? "done" : answer.value->body, fields);
}

exit_code ask_daemon(const command_line& line, store::http_request request, control_session& session,
                     console& out) {
    const auto answer = session.wait<store::http_reply>([&](auto done) {
        session.http().send(line.daemon, std::move(request), line.patience, std::move(done));
    });
    return print_daemon_answer(answer, out);
}

} // namespace

exit_code run_status(const command_line& line, control_session& session, console& out) {
    return ask_daemon(line, {"GET", "/status", {}, {}}, session, out);
}

exit_code run_drain(const command_line& line, const std::string& token, control_session& session,
                    console& out) {
    return ask_daemon(line, {"POST", "/drain", {}, {authorization(token)}}, session, out);
}

exit_code run_quarantine_list(const command_line& line, control_session& session, console& out) {
    return ask_daemon(line, {"GET", "/quarantine", {}, {}}, session, out);
}

exit_code run_quarantine_ruling(const command_line& line, bool held, const std::string& token,
                                control_session& session, console& out) {
    auto body = json::serialize(json::object{{"request", line.request}, {"held", held}});
    return ask_daemon(line, {"POST", "/quarantine", std::move(body), {authorization(token)}}, session, out);
}

} // namespace monsoonlift::monsoonctl
