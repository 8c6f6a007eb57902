#include "platform/heartbeat_codec.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift::platform;
using namespace std::chrono_literals;

namespace {

const std::string body =
    R"({"Service":"mappa","Address":"10.0.0.1:8080","Zone":"palermo","Version":"v1","Slots":51,)"
    R"("State":"ready","ColdRemainingMs":1500,"Sequence":4,"born":1770000000123,"more":[1]})";

std::string replaced(const std::string& from, const std::string& to) {
    auto text = body;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a heartbeat is decoded with the start time of its incarnation and its sequence number",
          "[platform]") {
    const auto decoded = decode_heartbeat("i-7f3a91c2", body);
    REQUIRE(std::holds_alternative<heartbeat>(decoded));
    const auto& read = std::get<heartbeat>(decoded);
    CHECK(read.id == "i-7f3a91c2");
    CHECK(read.service == "mappa");
    CHECK(read.address == "10.0.0.1:8080");
    CHECK(read.slots == 51);
    CHECK_FALSE(read.draining);
    CHECK(read.cold_for == 1500ms);
    CHECK(read.sequence == 4);
    CHECK(read.started_ms == 1770000000123);
    const auto leaving = decode_heartbeat("i", replaced("\"ready\"", "\"draining\""));
    CHECK(std::get<heartbeat>(leaving).draining);
}

TEST_CASE("a malformed heartbeat is rejected with a reason", "[platform]") {
    const std::string bodies[] = {
        "",
        "7",
        "\xff\xfe",
        body.substr(0, body.size() / 2),
        replaced("\"mappa\"", "7"),
        replaced("\"Slots\":51", "\"Slots\":0"),
        replaced("\"Slots\":51", "\"Slots\":-3"),
        replaced("\"Slots\":51", "\"Slots\":\"51\""),
        replaced("\"ready\"", "\"sleeping\""),
        replaced("\"Sequence\":4,", ""),
        replaced("\"Sequence\":4", "\"Sequence\":1.5"),
    };
    for (const auto& text : bodies) {
        INFO(text);
        const auto decoded = decode_heartbeat("i-1", text);
        REQUIRE(std::holds_alternative<heartbeat_fault>(decoded));
        CHECK_FALSE(std::get<heartbeat_fault>(decoded).reason.empty());
    }
    CHECK(std::holds_alternative<heartbeat_fault>(decode_heartbeat("", body)));
    CHECK(std::holds_alternative<heartbeat_fault>(decode_heartbeat(std::string(500, 'i'), body)));
}

// Guards against a heartbeat of another writer that ends the incarnation which the daemon serves (DRAIN).
TEST_CASE("a heartbeat that lacks a field or has one of another type is rejected", "[platform]") {
    const std::string fields[] = {"\"Service\":\"mappa\",",
                                  "\"Address\":\"10.0.0.1:8080\",",
                                  "\"Zone\":\"palermo\",",
                                  "\"Version\":\"v1\",",
                                  "\"Slots\":51,",
                                  "\"State\":\"ready\",",
                                  "\"ColdRemainingMs\":1500,",
                                  "\"Sequence\":4,"};
    for (const auto& field : fields) {
        INFO(field);
        const auto name = field.substr(0, field.find(':') + 1);
        CHECK(std::holds_alternative<heartbeat_fault>(decode_heartbeat("i-1", replaced(field, ""))));
        CHECK(
            std::holds_alternative<heartbeat_fault>(decode_heartbeat("i-1", replaced(field, name + "[],"))));
        CHECK(std::holds_alternative<heartbeat_fault>(
            decode_heartbeat("i-1", replaced(field, name + "null,"))));
    }
    CHECK(std::holds_alternative<heartbeat_fault>(
        decode_heartbeat("i-1", replaced("1770000000123", "\"1770000000123\""))));
    CHECK(
        std::holds_alternative<heartbeat>(decode_heartbeat("i-1", replaced(",\"born\":1770000000123", ""))));
}

TEST_CASE("a heartbeat of another service or another address is not from this VM's backend server",
          "[platform]") {
    const auto received = std::get<heartbeat>(decode_heartbeat("i-1", body));
    CHECK_FALSE(sender_fault(received, {"mappa", "10.0.0.1:8080"}));
    CHECK(sender_fault(received, {"squadre", "10.0.0.1:8080"}));
    CHECK(sender_fault(received, {"mappa", "10.0.0.1:8081"}));
}

TEST_CASE("a deregistration may carry the start time of its incarnation", "[platform]") {
    const auto start_in = [](const std::string& text) {
        return std::get<deregistration>(decode_deregistration("i-1", text)).started_ms;
    };
    CHECK(start_in(R"({"born":1770000000123})") == 1770000000123);
    CHECK(start_in("") == 0);
    CHECK(start_in("{\"born\":\"x\"}") == 0);
    CHECK(std::get<deregistration>(decode_deregistration("i-1", "")).id == "i-1");
}

TEST_CASE("a deregistration with an invalid id is rejected with a reason", "[platform]") {
    const std::string ids[] = {"", "i 1", "i-\xff\xfe", "i-\n", std::string(500, 'i')};
    for (const auto& id : ids) {
        INFO(id);
        const auto decoded = decode_deregistration(id, "");
        REQUIRE(std::holds_alternative<heartbeat_fault>(decoded));
        CHECK_FALSE(std::get<heartbeat_fault>(decoded).reason.empty());
    }
}
