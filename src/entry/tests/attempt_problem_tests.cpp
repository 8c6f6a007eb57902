#include "entry/internal/attempt_problem.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using core::verdict;
using entry::internal::final_problem;

namespace {

problem problem_with(const char* type, verdict run) {
    return {503, run, type, "A title", "a detail", {}};
}

} // namespace

TEST_CASE("the final problem never hides that an earlier attempt may have run or why it failed", "[entry]") {
    const auto shed = problem_with("shed", verdict::not_run);
    const auto none_reachable = problem_with("no-backend-server", verdict::not_run);
    const auto none_reachable_may_have_run = problem_with("no-backend-server", verdict::may_have_run);
    const auto aborted = problem_with("backend-failed", verdict::may_have_run);
    struct attempts_case {
        const char* what;
        std::optional<problem> earlier;
        problem last;
        const char* told;
        verdict run;
    };
    const attempts_case cases[] = {
        {"one attempt", std::nullopt, shed, "shed", verdict::not_run},
        {"no attempt", std::nullopt, none_reachable, "no-backend-server", verdict::not_run},
        {"shed, then no backend server left to try", shed, none_reachable, "shed", verdict::not_run},
        {"shed, and an earlier request with the key may have run", shed, none_reachable_may_have_run,
         "no-backend-server", verdict::may_have_run},
        {"aborted, then shed", aborted, shed, "backend-failed", verdict::may_have_run},
        {"aborted, then no backend server left to try", aborted, none_reachable, "backend-failed",
         verdict::may_have_run},
        {"shed, then aborted", shed, aborted, "backend-failed", verdict::may_have_run},
        {"no backend server, then shed", none_reachable, shed, "shed", verdict::not_run},
    };
    for (const auto& one : cases) {
        INFO(one.what);
        const auto told = final_problem(one.earlier, one.last);
        CHECK(told.type == one.told);
        CHECK(told.run == one.run);
    }
}
