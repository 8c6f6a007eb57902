#include "entry/internal/attempt_problem.h"

#include <algorithm>

namespace monsoonlift::entry::internal {

using core::verdict;
using transport::end_reason;

namespace {

constexpr std::string_view no_backend_type = "no-backend-server";

struct reason_entry {
    end_reason reason;
    unsigned status;
    std::string_view type;
    std::string_view title;
};

constexpr reason_entry reasons[] = {
    {end_reason::shed, 429, "shed", "Refused under overload"},
    {end_reason::draining, 503, "draining", "The backend server is about to stop"},
    {end_reason::no_backend, 503, no_backend_type, "No backend server can be reached"},
    {end_reason::wrong_service, 503, no_backend_type, "No backend server can be reached"},
    {end_reason::backend_refused, 503, "backend-refused", "The backend server refused the request"},
    {end_reason::deadline, 504, "deadline", "The deadline passed"},
    {end_reason::cancelled, 503, "cancelled", "The call was given up"},
    {end_reason::body_damaged, 503, "body-damaged", "The request body was damaged on its way"},
    {end_reason::key_conflict, 409, "key-conflict", "The key was used for another request"},
    {end_reason::wrong_home, 503, "home-unknown", "The home of the key can't be reached"},
    {end_reason::home_unknown, 503, "home-unknown", "The home of the key can't be reached"},
    {end_reason::refused_key, 409, "refused-key", "The key can't be used"},
    {end_reason::quarantined, 503, "quarantined", "The request is held"},
    {end_reason::already_running, 409, "already-run", "A request of the same key may have run"},
};

constexpr reason_entry otherwise{end_reason::backend_failed, 502, "backend-failed",
                                 "The answer of the backend server is broken"};

/// 503 means that nothing ran; if the body was damaged after part of it had been passed to the backend
/// server, the attempt is reported as failed instead.
unsigned status_of(const reason_entry& known, const transport::attempt_end& end) {
    return end.reason == end_reason::body_damaged && end.run != verdict::not_run ? otherwise.status
                                                                                 : known.status;
}

} // namespace

problem problem_of(const transport::attempt_end& end) {
    const auto* found = std::find_if(std::begin(reasons), std::end(reasons),
                                     [&](const reason_entry& known) { return known.reason == end.reason; });
    const auto& known = found == std::end(reasons) ? otherwise : *found;
    problem trouble{status_of(known, end),    end.run,    std::string(known.type),
                    std::string(known.title), end.detail, {}};
    if (end.retry_after) {
        trouble.retry_after = *end.retry_after;
    } else if (known.status == 429 || (known.status == 503 && end.run == verdict::not_run)) {
        trouble.retry_after = std::chrono::seconds(1);
    }
    return trouble;
}

problem problem_of(routing::no_route reason, const std::string& service) {
    transport::attempt_end end;
    end.run = verdict::not_run;
    if (reason == routing::no_route::shed) {
        end.reason = end_reason::shed;
        end.detail = "every backend server of " + service + " refuses calls of this class for now";
    } else {
        end.reason = end_reason::no_backend;
        end.detail = "no backend server of " + service + " is known to be up";
    }
    return problem_of(end);
}

bool is_about_home(end_reason reason) {
    return reason == end_reason::wrong_home || reason == end_reason::home_unknown;
}

bool is_without_backend(const problem& trouble) {
    return trouble.type == no_backend_type;
}

problem final_problem(const std::optional<problem>& earlier, const problem& last) {
    const bool hides_possible_run = earlier && earlier->run != verdict::not_run;
    const bool hides_cause = earlier && is_without_backend(last);
    const bool prefer_earlier = last.run == verdict::not_run && (hides_possible_run || hides_cause);
    return prefer_earlier ? *earlier : last;
}

} // namespace monsoonlift::entry::internal
