// Feeds valid messages with seeded random damage to every decoder, which may reject them but must not crash
// or throw.
#include "platform/configuration_codec.h"
#include "platform/heartbeat_codec.h"
#include "platform/store_codec.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace monsoonlift::platform;

namespace {

constexpr int rounds = 3000;

/// Applies 1 to 6 random changes: removes, duplicates or replaces bytes.
std::string damaged(std::string text, std::mt19937_64& random) {
    const auto at = [&] {
        return std::uniform_int_distribution<std::size_t>(0, text.size() - 1)(random);
    };
    const auto times = std::uniform_int_distribution<int>(1, 6)(random);
    for (int index = 0; index < times && text.size() > 1; ++index) {
        const auto place = at();
        switch (std::uniform_int_distribution<int>(0, 3)(random)) {
        case 0:
            text.erase(place, std::uniform_int_distribution<std::size_t>(1, 8)(random));
            break;
        case 1:
            text.insert(place, text.substr(at(), 6));
            break;
        case 2:
            text[place] = static_cast<char>(std::uniform_int_distribution<int>(0, 255)(random));
            break;
        default:
            text[place] = "{}[]\",:0-e"[std::uniform_int_distribution<int>(0, 9)(random)];
            break;
        }
    }
    return text;
}

} // namespace

TEST_CASE("decoders accept or reject damaged messages without crashing or throwing", "[platform]") {
    const std::string object =
        R"({"Metadata":{"Name":"main","Rev":4,"Deleting":false},"Spec":{"Version":"0c",)"
        R"("Listeners":[{"Host":"h","Rules":[{"Name":"r","Kind":"safe","Priority":1,)"
        R"("Match":{"PathPrefix":"/a/"},"Action":{"Service":"s","TimeoutMs":1}}]}],)"
        R"("Clusters":[{"Name":"s","MaxConnections":4}]}})";
    const std::string page = R"({"items":[)" + object + R"(],"More":false,"StoreRevision":5})";
    const std::string changes =
        R"({"events":[{"Deleted":false,"Object":)" + object + R"(}],"StoreRevision":5})";
    const std::string beat = R"({"Service":"s","Slots":4,"State":"ready","Sequence":4,"born":17})";
    std::mt19937_64 random(20261204);
    int configurations = 0;
    for (int round = 0; round < rounds; ++round) {
        static_cast<void>(decode_page(damaged(page, random)));
        static_cast<void>(decode_changes(damaged(changes, random)));
        static_cast<void>(decode_heartbeat("i-1", damaged(beat, random)));
        static_cast<void>(decode_deregistration("i-1", damaged(beat, random)));
        if (const auto read = decode_object(damaged(object, random))) {
            static_cast<void>(decode_configuration(read->content));
            ++configurations;
        }
    }
    CHECK(configurations > 0);
}
