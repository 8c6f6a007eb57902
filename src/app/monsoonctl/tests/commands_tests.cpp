#include <chrono>
#include <functional>
#include <sstream>
#include <string>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/tests/fake_daemon.h"
#include "app/monsoonctl/tests/operator_desk.h"
#include "configuration/tests/sample_document.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::monsoonctl;
using configuration::tests::sample_document;

namespace {

struct desk : tests::operator_desk {
    boost::json::object last() {
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
        return run_submit(line, document, session, answers);
    }
};

} // namespace

TEST_CASE("a document is submitted, shown, compared and remembered", "[monsoonctl]") {
    desk operators;
    command_line line;
    CHECK(run_show(line, operators.session, operators.answers) == exit_code::refused);
    operators.last();
    CHECK(operators.submit(sample_document(60)) == exit_code::ok);
    CHECK(operators.last().at("revision").to_number<int>() == 1);
    CHECK(run_diff(line, sample_document(70), operators.session, operators.answers) == exit_code::ok);
    CHECK(operators.last().at("changes").as_array().at(0) == "services.squadre.slots: 60 -> 70");
    CHECK(operators.submit(sample_document(70), 1) == exit_code::ok);
    operators.last();
    CHECK(run_show(line, operators.session, operators.answers) == exit_code::ok);
    CHECK(operators.last().at("document") == boost::json::value(sample_document(70)));
    CHECK(run_history(line, operators.session, operators.answers) == exit_code::ok);
    const auto entries = operators.last().at("entries").as_array();
    REQUIRE(entries.size() == 2);
    CHECK(entries.at(0).at("revision").to_number<int>() == 2);
    CHECK(entries.at(0).at("who") == "anna");
}

TEST_CASE("exit codes tell refusals, conflicts, outages and unknown outcomes apart", "[monsoonctl]") {
    desk operators;
    REQUIRE(operators.submit(sample_document(60)) == exit_code::ok);
    operators.last();
    CHECK(operators.submit("format: 1\n") == exit_code::refused);
    CHECK_FALSE(operators.last().at("errors").as_array().empty());
    CHECK(operators.submit(sample_document(70), 0) == exit_code::conflict);
    CHECK(operators.last().at("others").as_array().size() == 1);
    CHECK(operators.submit(sample_document(70), 5) == exit_code::conflict);
    const auto ahead = operators.last();
    CHECK(ahead.at("revision").to_number<int>() == 1);
    CHECK_THAT(std::string(ahead.at("detail").as_string()),
               Catch::Contains("revision 5") && Catch::Contains("revision 1 is in force"));
    operators.set_faults("{\"outage\":true}");
    CHECK(operators.submit(sample_document(70)) == exit_code::unavailable);
    operators.last();
    operators.set_faults("{\"lose_answers\":1}");
    CHECK(operators.submit(sample_document(70)) == exit_code::ok);
    CHECK(operators.last().at("revision").to_number<int>() == 2);
}

TEST_CASE("validation prints every fault", "[monsoonctl]") {
    std::ostringstream out;
    console answers(out, out, false);
    CHECK(run_validate(sample_document(), answers) == exit_code::ok);
    CHECK(out.str() == "valid: 1 services, 3 calls\n");
    out.str("");
    CHECK(run_validate(sample_document(0), answers) == exit_code::refused);
    CHECK(out.str().find("services[0].slots (line 9): found \"0\"") == 0);
}

TEST_CASE("daemons are asked with the token where it is needed", "[monsoonctl]") {
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
        desk operators;
        command_line line;
        line.daemon = daemon.address();
        line.request = "00ff";
        CHECK(each.run(line, operators.session, operators.answers) == exit_code::ok);
        CHECK(operators.last().at("answer") == "yes");
        const auto asked = daemon.request();
        CHECK(asked.find(each.first_line) == 0);
        CHECK((asked.find("Authorization: Bearer secret\r\n") != std::string::npos) == each.has_token);
        CHECK(asked.ends_with("\r\n\r\n" + each.body));
    }
}

TEST_CASE("a daemon that can't be reached is unavailable", "[monsoonctl]") {
    desk operators;
    command_line line;
    line.daemon = "127.0.0.1:1";
    line.patience = 500ms;
    CHECK(run_status(line, operators.session, operators.answers) == exit_code::unavailable);
    CHECK(run_drain(line, "token", operators.session, operators.answers) == exit_code::unavailable);
    line.daemon = operators.platform.address();
    CHECK(run_status(line, operators.session, operators.answers) == exit_code::refused);
}
