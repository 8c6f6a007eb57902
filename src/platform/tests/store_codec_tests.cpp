#include "platform/store_codec.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace monsoonlift::platform;

namespace {

const std::string object_text =
    R"({"Metadata":{"Name":"10.0.0.1:7000","Rev":412,"CreatedRev":9,"Finalizers":[],"Deleting":false},)"
    R"("Spec":"text","Status":null})";

/// Contents from another writer: their brackets are balanced, but the JSON parser rejects each of them.
std::vector<std::string> malformed_contents() {
    return {
        std::string(40, '[') + std::string(40, ']'),
        std::string(20'000, '[') + std::string(20'000, ']'),
        R"({"port":1e99999999999})",
        R"({"address":"10.0.0.1:\ud800"})",
        "\"\xff\xfe\"",
        R"({"text":"]},{\"","bad":\x})",
    };
}

std::string object_with(const std::string& name, const std::string& content) {
    return R"({"Metadata":{"Name":")" + name + R"(","Rev":7,"Deleting":false},"Spec":)" + content +
           R"(,"Status":null})";
}

} // namespace

TEST_CASE("an object with malformed content does not hide the other objects of its page", "[platform]") {
    for (const auto& odd : malformed_contents()) {
        INFO(odd.substr(0, 60));
        const auto page = decode_page(R"({"items":[)" + object_with("odd", odd) + "," + object_text +
                                      R"(],"More":true,"StoreRevision":530})");
        REQUIRE(page);
        CHECK(page->revision == 530);
        CHECK(page->has_more);
        REQUIRE(page->objects.size() == 2);
        CHECK(page->objects[0].name == "odd");
        CHECK(page->objects[0].content.is_null());
        CHECK(page->objects[1].content == "text");
    }
}

TEST_CASE("an object with malformed content does not hide the other changes of a watch", "[platform]") {
    for (const auto& odd : malformed_contents()) {
        INFO(odd.substr(0, 60));
        const auto told = decode_changes(R"({"events":[{"Object":)" + object_with("odd", odd) +
                                         R"(,"Deleted":false},{"Deleted":true,"Object":)" + object_text +
                                         R"(}],"StoreRevision":533})");
        REQUIRE(told);
        CHECK(told->revision == 533);
        REQUIRE(told->changes.size() == 2);
        CHECK(told->changes[0].object.name == "odd");
        CHECK(told->changes[1].removed);
        CHECK(told->changes[1].object.content == "text");
    }
}

TEST_CASE("an object with malformed content keeps its name and version", "[platform]") {
    for (const auto& odd : malformed_contents()) {
        INFO(odd.substr(0, 60));
        const auto read = decode_object(object_with("odd", odd));
        REQUIRE(read);
        CHECK(read->name == "odd");
        CHECK(read->version == 7);
        CHECK(read->content.is_null());
    }
}

TEST_CASE("an object of the store is decoded with name, version and content", "[platform]") {
    const auto read = decode_object(object_text);
    REQUIRE(read);
    CHECK(read->name == "10.0.0.1:7000");
    CHECK(read->version == 412);
    CHECK(read->content == "text");
    CHECK_FALSE(read->is_being_removed);
}

TEST_CASE("a page skips malformed objects and keeps the rest", "[platform]") {
    const auto page =
        decode_page(R"({"items":[7,{"Metadata":{}},)" + object_text +
                    R"(,{"Metadata":{"Name":"x","Rev":"1"}}],"More":true,"StoreRevision":530})");
    REQUIRE(page);
    CHECK(page->revision == 530);
    CHECK(page->has_more);
    REQUIRE(page->objects.size() == 1);
    CHECK(page->objects[0].version == 412);
    CHECK_FALSE(decode_page(R"({"items":[]})"));
    CHECK_FALSE(decode_page(R"({"items":{},"StoreRevision":1})"));
}

TEST_CASE("the result of a watch reports removals and skips malformed events", "[platform]") {
    const auto told = decode_changes(R"({"events":[{"Deleted":true,"Object":)" + object_text +
                                     R"(},{"Deleted":false},7],"StoreRevision":533})");
    REQUIRE(told);
    CHECK(told->revision == 533);
    REQUIRE(told->changes.size() == 1);
    CHECK(told->changes[0].removed);
    CHECK_FALSE(decode_changes(R"({"events":[]})"));
}

TEST_CASE("a write carries the object's name, and its version only if it replaces an object", "[platform]") {
    const auto created = boost::json::parse(encode_write("10.0.0.1:7000", 0, "te\"xt"));
    CHECK(created.at("Metadata").at("Name") == "10.0.0.1:7000");
    CHECK_FALSE(created.at("Metadata").as_object().contains("Rev"));
    CHECK(created.at("Spec") == "te\"xt");
    const auto replaced = boost::json::parse(encode_write("a", 412, ""));
    CHECK(replaced.at("Metadata").at("Rev").to_number<int>() == 412);
}
