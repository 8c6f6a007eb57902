#include "store/tests/object_api_contract.h"

#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "store/limits.h"

namespace monsoonlift::store::tests {

using namespace std::chrono_literals;

namespace {

constexpr auto patience = 5000ms;

settled<std::uint64_t> put(contract_environment& environment, const std::string& name, std::uint64_t expected,
                           const std::string& value, std::chrono::milliseconds longest = patience) {
    return environment.wait<std::uint64_t>(
        [&](auto done) { environment.api().update_if(name, expected, value, longest, done); });
}

settled<object> get(contract_environment& environment, const std::string& name,
                    std::chrono::milliseconds longest = patience) {
    return environment.wait<object>([&](auto done) { environment.api().get(name, longest, done); });
}

settled<object_list> list(contract_environment& environment, const std::string& prefix) {
    return environment.wait<object_list>([&](auto done) { environment.api().list(prefix, patience, done); });
}

settled<std::uint64_t> remove(contract_environment& environment, const std::string& name,
                              std::uint64_t expected) {
    return environment.wait<std::uint64_t>(
        [&](auto done) { environment.api().remove_if(name, expected, patience, done); });
}

settled<watch_result> watch(contract_environment& environment, std::uint64_t revision,
                            std::chrono::milliseconds longest) {
    return environment.wait<watch_result>(
        [&](auto done) { environment.api().watch("a/", revision, longest, done); });
}

void writes_and_reads(contract_environment& environment) {
    const auto version = put(environment, "a/10.0.0.1:7000", 0, "one \"quoted\" \xC3\xA9\n");
    REQUIRE(version.value);
    const auto found = get(environment, "a/10.0.0.1:7000");
    REQUIRE(found.value);
    CHECK(found.value->name == "a/10.0.0.1:7000");
    CHECK(found.value->version == *version.value);
    CHECK(found.value->value == "one \"quoted\" \xC3\xA9\n");
}

void missing_object_is_not_found(contract_environment& environment) {
    CHECK(get(environment, "a/none").failure.code == core::error_code::not_found);
    CHECK(remove(environment, "a/none", 1).failure.code == core::error_code::not_found);
}

void other_version_is_conflict(contract_environment& environment) {
    const auto first = put(environment, "a/x", 0, "one");
    CHECK(put(environment, "a/x", 0, "two").failure.code == core::error_code::conflict);
    CHECK(put(environment, "a/x", *first.value + 1, "two").failure.code == core::error_code::conflict);
    CHECK(remove(environment, "a/x", *first.value + 1).failure.code == core::error_code::conflict);
    CHECK(get(environment, "a/x").value->value == "one");
}

void versions_rise_and_are_not_reused(contract_environment& environment) {
    const auto first = put(environment, "a/x", 0, "one");
    const auto second = put(environment, "a/x", *first.value, "two");
    CHECK(*second.value > *first.value);
    CHECK(remove(environment, "a/x", *second.value).value);
    const auto third = put(environment, "a/x", 0, "three");
    CHECK(*third.value > *second.value);
}

void lists_by_prefix(contract_environment& environment) {
    put(environment, "a/x", 0, "1");
    put(environment, "a/y", 0, "2");
    const auto last = put(environment, "b/z", 0, "3");
    const auto listed = list(environment, "a/");
    REQUIRE(listed.value);
    REQUIRE(listed.value->objects.size() == 2);
    CHECK(listed.value->objects[1].name == "a/y");
    CHECK(listed.value->revision == *last.value);
}

void watch_reports_changes_since(contract_environment& environment) {
    const auto first = put(environment, "a/x", 0, "1");
    put(environment, "a/y", 0, "2");
    remove(environment, "a/x", *first.value);
    const auto changes = watch(environment, *first.value, patience);
    REQUIRE(changes.value);
    REQUIRE(changes.value->changed.size() == 1);
    CHECK(changes.value->changed[0].value == "2");
    CHECK(changes.value->removed == std::vector<std::string>{"a/x"});
}

void watch_waits_for_a_change(contract_environment& environment) {
    const auto start = list(environment, "a/").value->revision;
    settled<watch_result> changes;
    bool ended = false;
    environment.api().watch("a/", start, patience, [&](core::result<watch_result> outcome) {
        changes = settle_result(std::move(outcome));
        ended = true;
    });
    put(environment, "b/other", 0, "not watched");
    CHECK_FALSE(ended);
    put(environment, "a/x", 0, "1");
    environment.run_until([&ended] { return ended; });
    REQUIRE(changes.value);
    CHECK(changes.value->changed.size() == 1);
}

void watch_ends_empty(contract_environment& environment) {
    const auto changes = watch(environment, 0, 50ms);
    REQUIRE(changes.value);
    CHECK(changes.value->changed.empty());
    CHECK(changes.value->removed.empty());
}

void stores_the_largest_value(contract_environment& environment) {
    const std::string largest(max_value_bytes, 'v');
    REQUIRE(put(environment, "a/x", 0, largest).value);
    CHECK(get(environment, "a/x").value->value == largest);
}

void outage_is_unavailable(contract_environment& environment) {
    environment.set_outage(true, false);
    const auto refused = put(environment, "a/x", 0, "1");
    CHECK(refused.failure.code == core::error_code::unavailable);
    CHECK(refused.failure.run == core::verdict::not_run);
    CHECK(get(environment, "a/x").failure.code == core::error_code::unavailable);
    environment.set_outage(false, false);
    CHECK(put(environment, "a/x", 0, "1").value);
}

void unanswered_write_is_unknown(contract_environment& environment) {
    environment.set_outage(true, true);
    const auto unanswered = put(environment, "a/x", 0, "1", 50ms);
    CHECK(unanswered.failure.code == core::error_code::timeout);
    CHECK(unanswered.failure.run == core::verdict::may_have_run);
}

void lost_answer_is_unknown(contract_environment& environment) {
    environment.lose_answers(true);
    const auto lost = put(environment, "a/x", 0, "1", 500ms);
    CHECK(lost.failure.code == core::error_code::timeout);
    CHECK(lost.failure.run == core::verdict::may_have_run);
    environment.lose_answers(false);
    CHECK(get(environment, "a/x").value->value == "1");
}

constexpr contract_case cases[] = {
    {"an object reads back as written", writes_and_reads},
    {"reading or removing a missing object fails with not_found", missing_object_is_not_found},
    {"a write or removal at another version fails with conflict", other_version_is_conflict},
    {"versions increase and are not reused after a removal", versions_rise_and_are_not_reused},
    {"a list holds only the objects under its prefix", lists_by_prefix},
    {"a watch reports changes and removals since its revision", watch_reports_changes_since},
    {"a watch waits for a change under its prefix", watch_waits_for_a_change},
    {"a watch without a change returns an empty result", watch_ends_empty},
    {"the largest value is stored", stores_the_largest_value},
    {"calls in an outage fail with unavailable and verdict not_run", outage_is_unavailable},
    {"a write without an answer times out with verdict may_have_run", unanswered_write_is_unknown},
    {"a write whose answer is lost times out with verdict may_have_run", lost_answer_is_unknown},
};

} // namespace

std::span<const contract_case> contract_cases() {
    return cases;
}

} // namespace monsoonlift::store::tests
