#include "tools/load_result.h"

#include "tools/answer_check.h"
#include "tools/content.h"

#include <catch2/catch.hpp>

namespace monsoonlift::tools {
namespace {

using namespace std::chrono_literals;

call_report make_call(std::chrono::nanoseconds sent, std::chrono::nanoseconds latency,
                      std::vector<attempt_report> attempts) {
    return {0, sent, latency, "", std::move(attempts)};
}

} // namespace

TEST_CASE("calls of several workers are counted by end, verdict and time", "[tools]") {
    class_result result;
    add_call(result,
             make_call(10ms, 200ms, {{attempt_end::shed, 429, "not_run"}, {attempt_end::whole, 200, "ran"}}));
    add_call(result, make_call(150ms, 1ms, {{attempt_end::shed, 429, "not_run"}}));
    class_result other;
    add_call(other, make_call(250ms, 1ms, {{attempt_end::timeout, 0, ""}}));
    merge(result, other);
    CHECK(result.sent == 3);
    CHECK(result.attempts == 4);
    CHECK(result.reached == 2);
    CHECK(result.ends.at("whole") == 1);
    CHECK(result.verdicts.at("not_run") == 1);
    CHECK(result.verdicts.at("none") == 1);
    CHECK(result.sent_timeline == std::vector<std::uint64_t>{1, 1, 1});
    CHECK(result.whole_timeline == std::vector<std::uint64_t>{1});
    CHECK(result.done_timeline == std::vector<std::uint64_t>{0, 0, 1});
    CHECK(result.latency.count() == 1);
}

TEST_CASE("latency quantiles have a resolution of half a percent", "[tools]") {
    latency_record record;
    CHECK(record.quantile(0.5) == 0ns);
    for (int i = 1; i <= 1000; ++i) {
        record.add(std::chrono::microseconds(i));
    }
    const auto p99 = std::chrono::duration<double, std::micro>(record.quantile(0.99)).count();
    CHECK(p99 == Approx(990).epsilon(0.006));
}

TEST_CASE("an answer is accepted only if it is complete and belongs to the request", "[tools]") {
    const expected_answer json{"t1", 5, "abc", 0};
    CHECK(is_expected(json, R"({"token":"t1","request_length":5,"sha256":"abc"})"));
    const char* wrong[] = {R"({"token":"t2","request_length":5,"sha256":"abc"})",
                           R"({"token":"t1","request_length":4,"sha256":"abc"})",
                           R"({"token":"t1","request_length":5,"sha256":"abd"})",
                           R"({"token":"t1","request_length":5,)", ""};
    for (const auto* body : wrong) {
        INFO(body);
        CHECK_FALSE(is_expected(json, body));
    }
    const expected_answer content{"t1", 0, "", 1001};
    std::string body = make_content(content_seed("t1"), 1001);
    CHECK(is_expected(content, body));
    CHECK_FALSE(is_expected(content, std::string_view(body).substr(1)));
    body[1000] = static_cast<char>(body[1000] + 1);
    CHECK_FALSE(is_expected(content, body));
}

TEST_CASE("content generated from an offset matches the complete content", "[tools]") {
    const std::string whole = make_content(7, 100);
    std::string piece(60, '\0');
    fill_content(7, 13, piece);
    CHECK(piece == whole.substr(13, 60));
}

} // namespace monsoonlift::tools
