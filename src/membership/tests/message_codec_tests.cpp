#include "membership/message_codec.h"

#include "membership/tests/model_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::membership;
using monsoonlift::membership::testing::model_fleet;

namespace {

swim_message full_message() {
    swim_message message;
    message.fleet = "sicily";
    message.kind = message_kind::table_page;
    message.sequence = 9;
    message.sender = {"10.0.0.1:7000", {77}};
    message.sender_membership_address = "10.0.0.1:7001";
    message.sender_admin_address = "192.168.0.1:7002";
    message.sender_update_number = 3;
    message.revision = 12;
    message.target = {"[fe80::1]:7000", {78}};
    message.records = {model_fleet::record(1), model_fleet::record(2)};
    message.records[1].status = member_status::dead;
    message.records[1].draining = true;
    message.rumors = {{1, std::string("\0x", 2)}};
    message.digest = 5;
    message.bucket_digests = {1, 2, 3};
    message.cursor = "10.0.0.9:7000";
    message.complete = true;
    message.bucket = 4;
    return message;
}

} // namespace

TEST_CASE("a field is lost in encoding or decoding", "[codec]") {
    const swim_message sent = full_message();
    const auto got = decode(encode(sent));
    REQUIRE(got.has_value());
    CHECK(got->fleet == sent.fleet);
    CHECK(got->kind == sent.kind);
    CHECK(got->sequence == sent.sequence);
    CHECK(got->sender == sent.sender);
    CHECK(got->sender_membership_address == sent.sender_membership_address);
    CHECK(got->sender_admin_address == sent.sender_admin_address);
    CHECK(got->sender_update_number == sent.sender_update_number);
    CHECK(got->revision == sent.revision);
    CHECK(got->target == sent.target);
    CHECK(got->records == sent.records);
    CHECK(got->rumors == sent.rumors);
    CHECK(got->digest == sent.digest);
    CHECK(got->bucket_digests == sent.bucket_digests);
    CHECK(got->cursor == sent.cursor);
    CHECK(got->complete == sent.complete);
    CHECK(got->bucket == sent.bucket);
}

TEST_CASE("malformed datagrams are accepted, or truncated or damaged ones crash the decoder", "[codec]") {
    CHECK_FALSE(decode("").has_value());
    CHECK_FALSE(decode("GET / HTTP/1.1").has_value());
    const std::string datagram = encode(full_message());
    for (std::size_t length = 0; length < datagram.size(); ++length) {
        (void)decode(std::string_view(datagram).substr(0, length));
    }
    for (std::size_t position = 0; position < datagram.size(); ++position) {
        std::string damaged = datagram;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x55);
        (void)decode(damaged);
    }
    swim_message nameless = full_message();
    nameless.sender.address = "nowhere";
    CHECK_FALSE(decode(encode(nameless)).has_value());
}

TEST_CASE("an encoded message is larger than its stated bound", "[codec]") {
    swim_message bare;
    bare.fleet = std::string(max_fleet_bytes, 'f');
    bare.sequence = ~0ULL;
    bare.sender = {"[fe80:1234:5678:9abc:def0:1234:5678:9abc]:65535", {~0ULL}};
    bare.sender_membership_address = "[fe81:1234:5678:9abc:def0:1234:5678:9abc]:65535";
    bare.sender_admin_address = "[fe82:1234:5678:9abc:def0:1234:5678:9abc]:65535";
    bare.sender_update_number = ~0ULL;
    bare.revision = ~0ULL;
    bare.target = bare.sender;
    bare.digest = ~0ULL;
    CHECK(encode(bare).size() <= message_overhead_bytes);
    swim_message with_news = bare;
    with_news.records.push_back(model_fleet::record(800));
    CHECK(encode(with_news).size() - encode(bare).size() <= encoded_bytes(with_news.records.front()));
}
