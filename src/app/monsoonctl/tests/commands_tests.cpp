#include <chrono>
#include <functional>
#include <sstream>
#include <string>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/tests/command_fixture.h"
#include "app/monsoonctl/tests/fake_daemon.h"
#include "configuration/tests/sample_document.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::monsoonctl;
using configuration::tests::sample_document;

namespace {

struct commands_fixture : tests::command_fixture {
    boost::json::object take_output() {
        const auto parsed = boost::json::parse(out.str());
        out.str("");
        return parsed.as_object();
    }

    exit_code submit(const std::string& document, std::optional<std::uint64_t> base = std::nullopt,
                     const std::string& submission = {}) {
        command_line line;
        line.who = "anna";
        line.base_revision = base;
        line.submission = submission;
        line.patience = 5s;
        return run_submit(line, document, session, printer);
    }
};

} // namespace

TEST_CASE("a submitted document can be shown, compared and found in the history", "[monsoonctl]") {
    commands_fixture fixture;
    command_line line;
    CHECK(run_show(line, fixture.session, fixture.printer) == exit_code::refused);
    fixture.take_output();
    CHECK(fixture.submit(sample_document(60)) == exit_code::ok);
    CHECK(fixture.take_output().at("revision").to_number<int>() == 1);
    CHECK(run_diff(line, sample_document(70), fixture.session, fixture.printer) == exit_code::ok);
    CHECK(fixture.take_output().at("changes").as_array().at(0) == "services.squadre.slots: 60 -> 70");
    CHECK(fixture.submit(sample_document(70), 1) == exit_code::ok);
    fixture.take_output();
    CHECK(run_show(line, fixture.session, fixture.printer) == exit_code::ok);
    CHECK(fixture.take_output().at("document") == boost::json::value(sample_document(70)));
    CHECK(run_history(line, fixture.session, fixture.printer) == exit_code::ok);
    const auto entries = fixture.take_output().at("entries").as_array();
    REQUIRE(entries.size() == 2);
    CHECK(entries.at(0).at("revision").to_number<int>() == 2);
    CHECK(entries.at(0).at("who") == "anna");
}

TEST_CASE("exit codes distinguish refusals, conflicts and outages, and a lost answer is resolved",
          "[monsoonctl]") {
    commands_fixture fixture;
    REQUIRE(fixture.submit(sample_document(60)) == exit_code::ok);
    fixture.take_output();
    CHECK(fixture.submit("format: 1\n") == exit_code::refused);
    CHECK_FALSE(fixture.take_output().at("errors").as_array().empty());
    CHECK(fixture.submit(sample_document(70), 0) == exit_code::conflict);
    CHECK(fixture.take_output().at("others").as_array().size() == 1);
    CHECK(fixture.submit(sample_document(70), 5) == exit_code::conflict);
    const auto ahead = fixture.take_output();
    CHECK(ahead.at("revision").to_number<int>() == 1);
    CHECK_THAT(std::string(ahead.at("detail").as_string()),
               Catch::Contains("revision 5") && Catch::Contains("revision 1 is in force"));
    fixture.set_faults("{\"outage\":true}");
    CHECK(fixture.submit(sample_document(70)) == exit_code::unavailable);
    fixture.take_output();
    fixture.set_faults("{\"lose_answers\":1}");
    CHECK(fixture.submit(sample_document(70)) == exit_code::ok);
    CHECK(fixture.take_output().at("revision").to_number<int>() == 2);
}

TEST_CASE("validation prints every error of a document", "[monsoonctl]") {
    std::ostringstream out;
    console printer(out, out, false);
    CHECK(run_validate(sample_document(), printer) == exit_code::ok);
    CHECK(out.str() == "valid: 1 services, 3 calls\n");
    out.str("");
    CHECK(run_validate(sample_document(0), printer) == exit_code::refused);
    CHECK(out.str().find("services[0].slots (line 9): found \"0\"") == 0);
}

TEST_CASE("requests to a daemon carry the token only where it is required", "[monsoonctl]") {
    struct {
        const char* what;
        std::function<exit_code(const command_line&, control_session&, console&)> run;
        std::string first_line;
        bool has_token;
        std::string body;
    } const cases[] = {
        {"status", run_status, "GET /status HTTP/1.1", false, ""},
        {"drain",
         [](const auto& line, auto& session, auto& out) { return run_drain(line, "secret", session, out); },
         "POST /drain HTTP/1.1", true, ""},
        {"quarantine list", run_quarantine_list, "GET /quarantine HTTP/1.1", false, ""},
        {"quarantine hold",
         [](const auto& line, auto& session, auto& out) {
             return run_quarantine_ruling(line, true, "secret", session, out);
         },
         "POST /quarantine HTTP/1.1", true, R"({"request":"00ff","held":true})"},
        {"quarantine release",
         [](const auto& line, auto& session, auto& out) {
             return run_quarantine_ruling(line, false, "secret", session, out);
         },
         "POST /quarantine HTTP/1.1", true, R"({"request":"00ff","held":false})"},
    };
    for (const auto& each : cases) {
        INFO(each.what);
        tests::fake_daemon daemon(R"({"answer":"yes"})");
        commands_fixture fixture;
        command_line line;
        line.daemon = daemon.address();
        line.request = "00ff";
        CHECK(each.run(line, fixture.session, fixture.printer) == exit_code::ok);
        CHECK(fixture.take_output().at("answer") == "yes");
        const auto request = daemon.request();
        CHECK(request.find(each.first_line) == 0);
        CHECK((request.find("Authorization: Bearer secret\r\n") != std::string::npos) == each.has_token);
        CHECK(request.ends_with("\r\n\r\n" + each.body));
    }
}

TEST_CASE("an unreachable daemon gives the exit code unavailable", "[monsoonctl]") {
    commands_fixture fixture;
    command_line line;
    line.daemon = "127.0.0.1:1";
    line.patience = 500ms;
    CHECK(run_status(line, fixture.session, fixture.printer) == exit_code::unavailable);
    CHECK(run_drain(line, "token", fixture.session, fixture.printer) == exit_code::unavailable);
    line.daemon = fixture.platform.address();
    CHECK(run_status(line, fixture.session, fixture.printer) == exit_code::refused);
}
