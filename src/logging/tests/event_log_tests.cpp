#include "logging/log4cplus_event_log.h"

#include "logging/tests/output_pipe.h"
#include "testing/manual_clock.h"

#include <stdexcept>
#include <string>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::logging;
using namespace std::chrono_literals;
using monsoonlift::logging::tests::output_pipe;

namespace {

/// A log that writes to a pipe, on a manual clock.
struct log_under_test {
    explicit log_under_test(double lines_per_second, const std::string& lowest = "info")
        : log({"d1", lowest, lines_per_second, pipe.writer()}, clock) {}

    boost::json::object next() { return boost::json::parse(pipe.read_line()).as_object(); }

    output_pipe pipe;
    testing::manual_clock clock;
    log4cplus_event_log log;
};

} // namespace

TEST_CASE("lines are written as JSON objects to the given descriptor", "[events][threads]") {
    log_under_test test(100);
    test.log.write(event_id::call_refused, {{"root", "abc"}});
    const auto line = test.next();
    CHECK(line.at("event") == 2015);
    CHECK(line.at("name") == "call_refused");
    CHECK(line.at("process") == "d1");
    CHECK(line.at("root") == "abc");
    CHECK(line.contains("time"));
}

TEST_CASE("lines below the log level are not written and not counted, but notices are always written",
          "[events][threads]") {
    log_under_test test(100, "error");
    CHECK_FALSE(test.log.wants(event_id::call_accepted));
    test.log.write(event_id::call_refused, {});
    test.log.write(event_id::process_stopped, {});
    CHECK(test.next().at("name") == "process_stopped");
    CHECK(test.log.left_out() == 0);
}

TEST_CASE("when the line budget runs low, refusals are written while routine lines are only counted",
          "[events][threads]") {
    log_under_test test(10);
    for (int times = 0; times < 50; ++times) {
        test.log.write(event_id::call_accepted, {{"number", std::to_string(times)}});
    }
    CHECK_FALSE(test.log.wants(event_id::call_accepted));
    CHECK(test.log.wants(event_id::call_refused));
    test.log.write(event_id::call_refused, {});
    for (int times = 0; times < 10; ++times) {
        CHECK(test.next().at("number").as_string() == std::to_string(times));
    }
    CHECK(test.next().at("name") == "call_refused");
    CHECK(test.log.left_out() == 41);
    const auto sum = test.next();
    CHECK(sum.at("name") == "lines_left_out");
    CHECK(sum.at("call_accepted") == "41");
}

TEST_CASE("a stalled reader does not block the log; lines that do not fit are counted", "[events][threads]") {
    log_under_test test(1e9);
    const std::string long_text(1000, 'x');
    while (test.log.left_out() == 0) {
        test.log.write(event_id::call_refused, {{"text", long_text}});
    }
    test.log.write(event_id::call_refused, {{"text", long_text}});
    CHECK(test.log.left_out() >= 2);
    CHECK_FALSE(test.log.wants(event_id::call_accepted));
}

TEST_CASE("a line that can't be composed counts as left out and doesn't end what was logged",
          "[events][threads][contain]") {
    class failing_clock final : public core::clock {
    public:
        [[nodiscard]] core::steady_time now() const override { return {}; }
        [[nodiscard]] core::wall_time wall_now() const override { throw std::runtime_error("no clock"); }
    };
    output_pipe pipe;
    const failing_clock clock;
    log4cplus_event_log log({"d1", "info", 100, pipe.writer()}, clock);
    CHECK_NOTHROW(log.write(event_id::call_refused, {}));
    CHECK(log.left_out() == 1);
}
