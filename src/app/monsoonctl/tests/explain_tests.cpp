#include <sstream>
#include <string>

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include "app/monsoonctl/commands.h"

using namespace monsoonlift::monsoonctl;

namespace {

const std::string root = "0123456789abcdef0123456789abcdef";
const std::string other_root = "ffffffffffffffffffffffffffffffff";

std::string event(const std::string& time, const std::string& process, const std::string& name,
                  const std::string& fields) {
    return R"({"time":"2026-03-12T19:04:)" + time + R"(Z","event":1,"name":")" + name +
           R"(","severity":"info","process":")" + process + "\"" + fields + "}\n";
}

std::string root_field(const std::string& id) {
    return R"(,"root":")" + id + "\"";
}

struct explain_result {
    exit_code code = exit_code::ok;
    std::string printed;
};

explain_result explain(const std::string& log, bool json) {
    command_line line;
    line.what = command::explain;
    line.request = root;
    line.logs = {"-"};
    std::istringstream input(log);
    std::ostringstream out;
    console printer(out, out, json);
    explain_result result;
    result.code = run_explain(line, input, printer);
    result.printed = out.str();
    return result;
}

} // namespace

TEST_CASE("the lines of one request from several processes are printed in the order of time",
          "[monsoonctl]") {
    const auto log =
        event("05.000002", "gate-1", "attempt_started", root_field(root) + R"(,"waited_ms":"1.5")") +
        event("05.000001", "entry-1", "call_accepted", root_field(root)) +
        event("05.000001", "entry-1", "call_accepted", root_field(other_root)) +
        event("05.000003", "entry-1", "call_refused", root_field(root) + R"(,"detail":"")");
    const auto result = explain(log, false);
    CHECK(result.code == exit_code::ok);
    CHECK(result.printed == "2026-03-12T19:04:05.000001Z  entry-1  call_accepted\n"
                            "2026-03-12T19:04:05.000002Z  gate-1  attempt_started  waited_ms=1.5\n"
                            "2026-03-12T19:04:05.000003Z  entry-1  call_refused\n"
                            "3 lines of 2 processes, of 4 lines read\n");
}

TEST_CASE("lines that aren't events are counted, and gaps are shown only for processes of the request",
          "[monsoonctl]") {
    const auto log = "a line of another program\n{\"broken\n[1]\n" +
                     event("05.000001", "entry-1", "call_accepted", root_field(root)) +
                     event("06.000000", "entry-1", "lines_left_out", R"(,"call_accepted":"12")") +
                     event("06.000000", "gate-7", "lines_left_out", R"(,"call_accepted":"99")");
    const auto result = explain(log, false);
    CHECK(result.code == exit_code::ok);
    CHECK_THAT(result.printed, Catch::Contains("3 lines read are no events\n"));
    CHECK_THAT(result.printed, Catch::Contains("lines_left_out  call_accepted=12\n"));
    CHECK_THAT(result.printed, !Catch::Contains("99"));
}

TEST_CASE("a request that appears in no log line is refused", "[monsoonctl]") {
    const auto result =
        explain(event("05.000001", "entry-1", "call_accepted", root_field(other_root)), false);
    CHECK(result.code == exit_code::refused);
    CHECK_THAT(result.printed, Catch::Contains("no line of request " + root + " in 1 lines read"));
}

TEST_CASE("the lines of a request can be printed as JSON", "[monsoonctl]") {
    const auto result = explain(event("05.000001", "entry-1", "call_accepted", root_field(root)), true);
    const auto document = boost::json::parse(result.printed).as_object();
    CHECK(document.at("lines").as_array().size() == 1);
    CHECK(document.at("lines").at(0).at("name") == "call_accepted");
    CHECK(document.at("lines_read") == 1);
}

TEST_CASE("an unreadable log is a usage error that names the file", "[monsoonctl]") {
    command_line line;
    line.request = root;
    line.logs = {"/nowhere/at.all"};
    std::istringstream input;
    std::ostringstream out;
    console printer(out, out, false);
    CHECK(run_explain(line, input, printer) == exit_code::usage);
    CHECK_THAT(out.str(), Catch::Contains("can't read /nowhere/at.all"));
}

TEST_CASE("the causes of refusals that concern accounts are explained, each once", "[monsoonctl]") {
    for (const std::string type : {"missing-key", "unknown-key", "parent-not-running", "quota-exceeded",
                                   "quota-unavailable", "configuration-outdated", "shed"}) {
        INFO(type);
        const auto refused =
            event("05.000001", "entry-1", "call_refused", root_field(root) + R"(,"type":")" + type + "\"");
        const auto result = explain(refused + refused, false);
        const auto cause = "cause: " + type + ": ";
        CHECK_THAT(result.printed, Catch::Contains(cause));
        CHECK(result.printed.find(cause) == result.printed.rfind(cause));
        const auto document = boost::json::parse(explain(refused, true).printed).as_object();
        CHECK(document.at("causes").as_array().size() == 1);
    }
    const auto other =
        event("05.000001", "entry-1", "call_refused", root_field(root) + R"(,"type":"unknown-route")");
    CHECK_THAT(explain(other, false).printed, !Catch::Contains("cause: "));
}
