#include <chrono>
#include <deque>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "configuration/audit_trail.h"
#include "configuration/limits.h"
#include "configuration/stored_configuration_json.h"
#include "configuration/submitter.h"
#include "configuration/tests/sample_document.h"
#include "store/limits.h"
#include "store/settled.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::configuration;
using store::testing::write_outcome;
using tests::sample_document;

namespace {

constexpr auto patience = 30s;

/// Two operators with separate clients of one simulated platform, on a manual clock.
struct submission_fixture {
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler timer{clock};
    store::testing::memory_store store;
    store::testing::fake_object_api api{store, timer};
    store::testing::fake_object_api other_api{store, timer};
    submitter operators{api, timer, clock, 11};
    submitter others{other_api, timer, clock, 12};

    submission_outcome submit(const submission_request& request) { return submit_by(operators, request); }

    submission_outcome submit_by(submitter& by, const submission_request& request) {
        submission_outcome outcome;
        bool ended = false;
        by.submit(request, patience, [&](const submission_outcome& result) {
            outcome = result;
            ended = true;
        });
        REQUIRE(timer.run_until([&ended] { return ended; }, 10min));
        return outcome;
    }

    stored_configuration current() const {
        return parse_stored_configuration(store.get(current_object)->value).value();
    }

    std::vector<audit_entry> history(const history_query& query = {}) {
        store::settled<std::vector<audit_entry>> answer;
        read_history(api, query, 1s, [&](core::result<std::vector<audit_entry>> outcome) {
            answer = store::settle_result(std::move(outcome));
        });
        timer.run_for(10min);
        REQUIRE(answer.value);
        return *answer.value;
    }
};

submission_request request_of(int slots, const std::string& id,
                              std::optional<std::uint64_t> base = std::nullopt) {
    return {sample_document(slots), "anna", "why", id, base};
}

} // namespace

TEST_CASE("a submission is accepted with its audit entry in one write", "[configuration]") {
    submission_fixture fixture;
    const auto first = fixture.submit(request_of(60, "s1"));
    CHECK(first.status == submission_status::accepted);
    CHECK(first.revision == 1);
    const auto second = fixture.submit(request_of(70, "s2"));
    CHECK(second.revision == 2);
    CHECK(second.changes == std::vector<std::string>{"services.squadre.slots: 60 -> 70"});
    const auto stored = fixture.current();
    CHECK(stored.document == sample_document(70));
    CHECK(stored.digest == digest_of(stored));
    REQUIRE(stored.audit.size() == 2);
    CHECK(stored.audit[1].who == "anna");
    CHECK(stored.audit[1].message == "why");
    CHECK(stored.audit[1].from_revision == 1);
    CHECK(stored.audit[1].submission == "s2");
    CHECK(fixture.store.revision() == 2);
}

TEST_CASE("a refused submission writes nothing", "[configuration]") {
    submission_fixture fixture;
    fixture.submit(request_of(60, "s1"));
    struct {
        const char* what;
        submission_request request;
        submission_status status;
    } const cases[] = {
        {"an invalid document", {"format: 1\n", "anna", "", "s2", {}}, submission_status::invalid},
        {"an empty author", {sample_document(70), "", "", "s2", {}}, submission_status::invalid},
        {"an empty submission id", {sample_document(70), "anna", "", "", {}}, submission_status::invalid},
        {"the document in force", request_of(60, "s2"), submission_status::unchanged},
        {"a base that is no longer in force", request_of(70, "s2", 0), submission_status::conflict},
        {"a base above the revision in force", request_of(70, "s2", 5), submission_status::conflict},
        {"a document too large in its stored form",
         {sample_document(70) + "#" + std::string(600'000, '"'), "anna", "", "s2", {}},
         submission_status::invalid},
    };
    for (const auto& each : cases) {
        INFO(each.what);
        CHECK(fixture.submit(each.request).status == each.status);
        CHECK(fixture.current().revision == 1);
    }
}

TEST_CASE("a base above the revision in force is refused with both revisions and what to do",
          "[configuration]") {
    struct {
        const char* what;
        int accepted;
        std::uint64_t base;
        const char* named;
    } const cases[] = {
        {"two revisions are accepted", 2, 5, "names revision 5 as its base, but revision 2 is in force"},
        {"the next revision", 2, 3, "names revision 3 as its base, but revision 2 is in force"},
        {"nothing is accepted", 0, 1,
         "names revision 1 as its base, but no configuration has been accepted yet"},
    };
    for (const auto& each : cases) {
        INFO(each.what);
        submission_fixture fixture;
        for (int number = 1; number <= each.accepted; ++number) {
            fixture.submit(request_of(60 + number, "s" + std::to_string(number)));
        }
        const auto refused = fixture.submit(request_of(90, "late", each.base));
        CHECK(refused.status == submission_status::conflict);
        CHECK(refused.revision == static_cast<std::uint64_t>(each.accepted));
        CHECK(refused.others.empty());
        CHECK_THAT(refused.detail, Catch::Contains(each.named));
        CHECK_THAT(refused.detail, Catch::EndsWith("submit it with base " + std::to_string(each.accepted)));
        CHECK(fixture.store.revision() == static_cast<std::uint64_t>(each.accepted));
    }
}

TEST_CASE("of two concurrent changes one is accepted, the other operator gets a conflict with its changes",
          "[configuration]") {
    submission_fixture fixture;
    fixture.submit(request_of(60, "s1"));
    bool raced = false;
    fixture.api.before_write([&](const std::string& name) {
        if (name == current_object && !raced) {
            raced = true;
            fixture.other_api.before_write({});
            auto rival = fixture.current();
            rival.revision = 2;
            rival.submission = "rival";
            rival.document = sample_document(80);
            rival.digest = digest_of(rival);
            rival.audit.push_back({2, 1, "bruno", "", "rival", {}, {"services.squadre.slots: 60 -> 80"}});
            REQUIRE(fixture.store.update_if(current_object, 1, to_json(rival)));
        }
    });
    const auto lost = fixture.submit(request_of(70, "s2"));
    CHECK(lost.status == submission_status::conflict);
    CHECK(lost.revision == 2);
    REQUIRE(lost.others.size() == 1);
    CHECK(lost.others[0].who == "bruno");
    CHECK(lost.others[0].changes == std::vector<std::string>{"services.squadre.slots: 60 -> 80"});
    CHECK(fixture.current().document == sample_document(80));
}

TEST_CASE("of two concurrent submissions exactly one is accepted", "[configuration]") {
    submission_fixture fixture;
    fixture.submit(request_of(60, "s1"));
    std::vector<submission_status> ends;
    const auto note = [&ends](const submission_outcome& result) {
        ends.push_back(result.status);
    };
    fixture.operators.submit(request_of(70, "s2"), patience, note);
    fixture.others.submit(request_of(80, "s3"), patience, note);
    fixture.timer.run_for(10min);
    std::sort(ends.begin(), ends.end());
    CHECK(ends == std::vector{submission_status::accepted, submission_status::conflict});
    CHECK(fixture.current().revision == 2);
}

TEST_CASE("after a lost write or answer the outcome is determined by reading back, with at most one effect",
          "[configuration]") {
    struct {
        const char* what;
        std::deque<write_outcome> fates;
        submission_status status;
    } const cases[] = {
        {"the answer is lost", {write_outcome::answer_lost}, submission_status::accepted},
        {"the request is lost", {write_outcome::request_lost}, submission_status::accepted},
        {"the request, then the answer is lost",
         {write_outcome::request_lost, write_outcome::answer_lost},
         submission_status::accepted},
        {"refused twice", {write_outcome::refused, write_outcome::refused}, submission_status::accepted},
        {"the write takes effect late", {write_outcome::effect_late}, submission_status::accepted},
        {"the write takes effect late, the second request is lost",
         {write_outcome::effect_late, write_outcome::request_lost},
         submission_status::accepted},
        {"every write refused", std::deque(100, write_outcome::refused), submission_status::unavailable},
        {"every request lost", std::deque(100, write_outcome::request_lost), submission_status::unknown},
    };
    for (const auto& each : cases) {
        INFO(each.what);
        submission_fixture fixture;
        fixture.submit(request_of(60, "s1"));
        fixture.api.set_write_outcomes(each.fates);
        const auto outcome = fixture.submit(request_of(70, "s2"));
        CHECK(outcome.status == each.status);
        fixture.timer.run_for(10min);
        const bool accepted = each.status == submission_status::accepted;
        CHECK(fixture.current().revision == (accepted ? 2 : 1));
        CHECK(fixture.current().audit.size() == (accepted ? 2 : 1));
    }
}

TEST_CASE("a submission whose answer is lost is found accepted after other operators' changes",
          "[configuration]") {
    struct {
        const char* what;
        std::size_t rivals;
    } const cases[] = {{"one change", 1}, {"so many that the entry is archived", max_kept_entries + 5}};
    for (const auto& each : cases) {
        INFO(each.what);
        submission_fixture fixture;
        fixture.submit(request_of(60, "s1"));
        fixture.api.set_write_outcomes({write_outcome::answer_lost});
        submission_outcome outcome;
        bool ended = false;
        fixture.operators.submit(request_of(70, "s2"), 10min, [&](const submission_outcome& result) {
            outcome = result;
            ended = true;
        });
        fixture.timer.run_until([&] { return fixture.current().revision == 2; }, 1min);
        fixture.api.set_outage(true);
        for (std::size_t rival = 0; rival < each.rivals; ++rival) {
            const auto id = "r" + std::to_string(rival);
            fixture.submit_by(fixture.others, request_of(100 + static_cast<int>(rival), id));
        }
        fixture.api.set_outage(false);
        REQUIRE(fixture.timer.run_until([&ended] { return ended; }, 10min));
        CHECK(outcome.status == submission_status::accepted);
        CHECK(outcome.revision == 2);
    }
}

TEST_CASE("resending a submission with an unknown outcome reports that it was accepted", "[configuration]") {
    submission_fixture fixture;
    fixture.submit(request_of(60, "s1"));
    fixture.api.set_write_outcomes({write_outcome::answer_lost});
    submission_outcome outcome;
    fixture.operators.submit(request_of(70, "s2"), 5s,
                             [&](const submission_outcome& result) { outcome = result; });
    fixture.timer.run_until([&] { return fixture.current().revision == 2; }, 1min);
    fixture.api.set_outage(true);
    fixture.timer.run_for(10min);
    CHECK(outcome.status == submission_status::unknown);
    fixture.api.set_outage(false);
    fixture.submit_by(fixture.others, request_of(80, "s3"));
    const auto again = fixture.submit(request_of(70, "s2", outcome.revision));
    CHECK(again.status == submission_status::accepted);
    CHECK(again.revision == 2);
    CHECK(fixture.current().document == sample_document(80));
}

TEST_CASE("no audit entry is lost or duplicated by archiving, even when answers are lost",
          "[configuration]") {
    constexpr std::uint64_t changes = 3 * max_kept_entries;
    submission_fixture fixture;
    for (std::uint64_t revision = 1; revision <= changes; ++revision) {
        const bool answers_lost = revision % 7 == 0 || revision % (max_kept_entries / 2) == 1;
        fixture.api.set_write_outcomes(std::deque(answers_lost ? 100 : 0, write_outcome::answer_lost));
        const auto id = "s" + std::to_string(revision);
        const auto outcome = fixture.submit(request_of(60 + static_cast<int>(revision % 2), id));
        REQUIRE(outcome.status == submission_status::accepted);
        REQUIRE(outcome.revision == revision);
        REQUIRE(fixture.current().audit.size() <= max_kept_entries);
    }
    CHECK(fixture.store.list("audit/").objects.size() >= 3);
    const auto entries = fixture.history();
    REQUIRE(entries.size() == changes);
    for (std::uint64_t at = 0; at < changes; ++at) {
        CHECK(entries[at].revision == changes - at);
        CHECK(entries[at].submission == "s" + std::to_string(changes - at));
    }
    CHECK(fixture.history({5, 0}).size() == 5);
    CHECK(fixture.history({0, changes - 100}).size() == 100);
}

TEST_CASE("the audit trail is archived when its entries are large", "[configuration]") {
    stored_configuration stored;
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        stored.audit.push_back({revision, revision - 1, "anna", std::string(9'000, 'm'), "s", {}, {}});
    }
    const auto plan = plan_archive(stored);
    REQUIRE(plan);
    CHECK(plan->name == "audit/000000000001-000000000010");
    const auto trimmed = without_archived(stored, *plan);
    CHECK(trimmed.audit.size() == 10);
    CHECK(trimmed.previous_archive == plan->name);
    CHECK_FALSE(plan_archive(trimmed));
}

TEST_CASE("malformed stored configurations and archives are refused", "[configuration]") {
    const char* const texts[] = {
        "",
        "{",
        "[]",
        "{}",
        "{\"format\":1}",
        R"({"format":2,"revision":1,"submission":"s","digest":"","document":"","audit":[],"previous_archive":""})"};
    for (const auto* text : texts) {
        INFO(text);
        CHECK_FALSE(parse_stored_configuration(text));
        CHECK_FALSE(parse_audit_archive(text));
    }
}
