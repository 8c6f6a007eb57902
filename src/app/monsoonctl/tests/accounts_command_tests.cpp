#include <chrono>
#include <string>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "accounts/account_table.h"
#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/result_format.h"
#include "app/monsoonctl/tests/command_fixture.h"
#include "app/monsoonctl/tests/fake_daemon.h"
#include "configuration/stored_configuration_json.h"
#include "configuration/tests/sample_document.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::monsoonctl;
using configuration::tests::sample_document;

namespace {

const std::string digest = accounts::to_string(accounts::digest_of("k1"));

std::string document_with_accounts() {
    return sample_document() + "accounts:\n  - name: school\n    key_digests: [" + digest +
           "]\n    class: lookup\n    rate_per_second: 5.5\n    burst: 8\n  - name: employer\n    "
           "key_digests: []\n";
}

struct accounts_fixture : tests::command_fixture {
    std::string take_output() {
        auto text = out.str();
        out.str("");
        return text;
    }

    void submit(const std::string& document) {
        command_line line;
        line.who = "anna";
        line.patience = 5s;
        REQUIRE(run_submit(line, document, session, printer) == exit_code::ok);
    }

    console text_printer{out, out, false};
};

} // namespace

TEST_CASE("accounts are listed with class, limit and number of keys, and without digests", "[monsoonctl]") {
    accounts_fixture fixture;
    fixture.submit(document_with_accounts());
    const auto submitted = fixture.take_output();
    CHECK_THAT(submitted, Catch::Contains("accounts.school: added") && !Catch::Contains(digest));
    command_line line;
    CHECK(run_accounts(line, fixture.session, fixture.text_printer) == exit_code::ok);
    CHECK(fixture.take_output() == "revision 1: 2 accounts\n"
                                   "school  class lookup  limit 5.5/s, burst 8  keys 1\n"
                                   "employer  class of the route  limit none  keys 0\n");
}

TEST_CASE("the use and the refusals of accounts come from a daemon's status", "[monsoonctl]") {
    configuration::stored_configuration stored;
    stored.revision = 4;
    stored.document = document_with_accounts();
    stored.digest = configuration::digest_of(stored);
    const std::string status = R"({"accounts":[)"
                               R"({"name":"other","calls":3,"answered":3,"refused":{}},)"
                               R"({"name":"school","calls":9,"answered":7,"refused":{"shed":2}}]})";
    tests::fake_daemon daemon(std::vector{configuration::to_json(stored), status});
    accounts_fixture fixture;
    command_line line;
    line.daemon = daemon.address();
    CHECK(run_accounts(line, fixture.session, fixture.printer) == exit_code::ok);
    const auto printed = fixture.take_output();
    CHECK_THAT(printed, !Catch::Contains(digest));
    const auto fields = boost::json::parse(printed).as_object();
    CHECK(fields.at("revision") == 4);
    CHECK(fields.at("accounts").at(0).at("use").at("refused").at("shed") == 2);
    CHECK_FALSE(fields.at("accounts").at(1).as_object().contains("use"));
    CHECK(fields.at("further").at("calls") == 3);
    CHECK_THAT(daemon.request(), Catch::StartsWith("GET /status HTTP/1.1"));
}

TEST_CASE("a configuration without accounts says so", "[monsoonctl]") {
    accounts_fixture fixture;
    fixture.submit(sample_document());
    fixture.take_output();
    command_line line;
    CHECK(run_accounts(line, fixture.session, fixture.printer) == exit_code::ok);
    CHECK(boost::json::parse(fixture.take_output()).at("accounts").is_null());
}

TEST_CASE("a document is shown without digests unless they are asked for", "[monsoonctl]") {
    accounts_fixture fixture;
    fixture.submit(document_with_accounts());
    fixture.take_output();
    command_line line;
    CHECK(run_show(line, fixture.session, fixture.text_printer) == exit_code::ok);
    const auto shown = fixture.take_output();
    CHECK_THAT(shown, Catch::Contains("key_digests: [(digest)]") && !Catch::Contains(digest));
    CHECK(run_show(line, fixture.session, fixture.printer) == exit_code::ok);
    CHECK_THAT(fixture.take_output(), !Catch::Contains(digest));
    // Submitting the shortened text must not take the keys from the accounts.
    CHECK(run_validate(shown, fixture.printer) == exit_code::refused);
    fixture.take_output();
    line.with_digests = true;
    CHECK(run_show(line, fixture.session, fixture.text_printer) == exit_code::ok);
    CHECK_THAT(fixture.take_output(), Catch::Contains(digest));
}

TEST_CASE("digests are left out in any spelling, and other texts stay", "[monsoonctl]") {
    const std::string upper(64, 'A');
    CHECK(without_key_digests("a: \"" + digest + "\"\nb: " + upper) == "a: \"(digest)\"\nb: (digest)");
    CHECK(without_key_digests("slots: 60, " + digest.substr(1)) == "slots: 60, " + digest.substr(1));
    CHECK(without_key_digests("").empty());
}
