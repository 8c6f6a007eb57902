#include "admin/announcement.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::admin;

namespace {

std::string announcement_with(const std::string& more) {
    return R"({"service":"mappa","address":"127.0.0.1:9000","slots":4,"connections":8)" + more + "}";
}

} // namespace

TEST_CASE("an announcement may name the incarnation of the backend server that sent it", "[announcement]") {
    const std::pair<std::string, std::string> cases[] = {
        {announcement_with(""), ""},
        {announcement_with(R"(,"instance":"1764844596-77")"), "1764844596-77"},
        {announcement_with(R"(,"instance":")" + std::string(64, 'i') + "\""), std::string(64, 'i')},
    };
    for (const auto& [text, instance] : cases) {
        INFO(text);
        const auto parsed = parse_announcement(text);
        const auto* server = std::get_if<gate::backend_server>(&parsed);
        REQUIRE(server != nullptr);
        CHECK(*server == gate::backend_server{"mappa", "127.0.0.1:9000", 4, 8, instance});
    }
}

TEST_CASE("an invalid announcement is refused with an error that names the field", "[announcement]") {
    const std::pair<std::string, std::string> cases[] = {
        {"nonsense", "JSON"},
        {R"({"address":"127.0.0.1:9000","slots":4,"connections":8})", "service"},
        {R"({"service":"mappa","address":"nowhere","slots":4,"connections":8})", "address"},
        {R"({"service":"mappa","address":"127.0.0.1:9000","slots":0,"connections":8})", "slots"},
        {announcement_with(R"(,"instance":"")"), "instance"},
        {announcement_with(R"(,"instance":7)"), "instance"},
        {announcement_with(R"(,"instance":null)"), "instance"},
        {announcement_with(R"(,"instance":")" + std::string(65, 'i') + "\""), "instance"},
    };
    for (const auto& [text, field] : cases) {
        INFO(text);
        const auto parsed = parse_announcement(text);
        const auto* wrong = std::get_if<announcement_error>(&parsed);
        REQUIRE(wrong != nullptr);
        CHECK(wrong->detail.find(field) != std::string::npos);
    }
}
