#include "platform/store_codec.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift::platform;

namespace {

const std::string object_text =
    R"({"Metadata":{"Name":"10.0.0.1:7000","Rev":412,"CreatedRev":9,"Finalizers":[],"Deleting":false},)"
    R"("Spec":"text","Status":null})";

} // namespace

TEST_CASE("an object of the store is read with name, version and content", "[platform]") {
    const auto read = decode_object(object_text);
    REQUIRE(read);
    CHECK(read->name == "10.0.0.1:7000");
    CHECK(read->version == 412);
    CHECK(read->content == "text");
    CHECK_FALSE(read->is_being_removed);
}

TEST_CASE("a page leaves out what can't be read and keeps the rest", "[platform]") {
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

TEST_CASE("changes tell what was removed", "[platform]") {
    const auto told = decode_changes(R"({"events":[{"Deleted":true,"Object":)" + object_text +
                                     R"(},{"Deleted":false},7],"StoreRevision":533})");
    REQUIRE(told);
    CHECK(told->revision == 533);
    REQUIRE(told->changes.size() == 1);
    CHECK(told->changes[0].removed);
    CHECK_FALSE(decode_changes(R"({"events":[]})"));
}

TEST_CASE("a write names the object, and the version only if it must exist", "[platform]") {
    const auto created = boost::json::parse(encode_write("10.0.0.1:7000", 0, "te\"xt"));
    CHECK(created.at("Metadata").at("Name") == "10.0.0.1:7000");
    CHECK_FALSE(created.at("Metadata").as_object().contains("Rev"));
    CHECK(created.at("Spec") == "te\"xt");
    const auto replaced = boost::json::parse(encode_write("a", 412, ""));
    CHECK(replaced.at("Metadata").at("Rev").to_number<int>() == 412);
}
