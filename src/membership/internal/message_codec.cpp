#include "membership/message_codec.h"

#include "membership/internal/packed_address.h"
#include "membership/proto/membership.pb.h"

namespace monsoonlift::membership {

namespace {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t list_entry_overhead = 3;
constexpr std::size_t rumor_overhead = 12;

void write_member(const member& source, proto::member_record& target) {
    const std::string transport = internal::pack_address(source.id.address);
    target.set_transport_address(transport);
    target.set_incarnation(source.id.life.value);
    target.set_membership_address(internal::pack_address_relative_to(source.membership_address, transport));
    target.set_admin_address(internal::pack_address_relative_to(source.admin_address, transport));
    target.set_name(source.name);
    target.set_data_centre(source.data_centre);
    target.set_service(source.service);
    target.set_status(static_cast<std::uint32_t>(source.status));
    target.set_draining(source.draining);
    target.set_news(source.update_number);
}

std::optional<member> read_member(const proto::member_record& source) {
    const std::string& transport = source.transport_address();
    member target;
    target.id.address = internal::unpack_address(transport);
    target.id.life.value = source.incarnation();
    target.membership_address = internal::unpack_address_relative_to(source.membership_address(), transport);
    target.admin_address = internal::unpack_address_relative_to(source.admin_address(), transport);
    target.name = source.name();
    target.data_centre = source.data_centre();
    target.service = source.service();
    target.status = static_cast<member_status>(source.status());
    target.draining = source.draining();
    target.update_number = source.news();
    const bool valid = !target.id.address.empty() && !target.membership_address.empty() &&
                       source.status() <= static_cast<std::uint32_t>(member_status::left);
    return valid ? std::optional(target) : std::nullopt;
}

bool is_known_kind(std::uint32_t kind) {
    return kind >= static_cast<std::uint32_t>(message_kind::probe) &&
           kind <= static_cast<std::uint32_t>(message_kind::digest_answer);
}

bool read_lists(const proto::datagram& source, swim_message& target) {
    for (const proto::member_record& record : source.news()) {
        const std::optional<member> decoded = read_member(record);
        if (!decoded) {
            return false;
        }
        target.records.push_back(*decoded);
    }
    for (const proto::rumor_record& record : source.rumors()) {
        target.rumors.push_back({record.topic(), record.payload()});
    }
    target.bucket_digests.assign(source.bucket_digests().begin(), source.bucket_digests().end());
    return true;
}

} // namespace

std::string encode(const swim_message& message) {
    proto::datagram wire;
    const std::string sender = internal::pack_address(message.sender.address);
    wire.set_version(protocol_version);
    wire.set_kind(static_cast<std::uint32_t>(message.kind));
    wire.set_sequence(message.sequence);
    wire.set_sender_address(sender);
    wire.set_sender_incarnation(message.sender.life.value);
    wire.set_sender_membership_address(
        internal::pack_address_relative_to(message.sender_membership_address, sender));
    wire.set_sender_admin_address(internal::pack_address_relative_to(message.sender_admin_address, sender));
    wire.set_sender_news(message.sender_update_number);
    wire.set_revision(message.revision);
    wire.set_target_address(internal::pack_address(message.target.address));
    wire.set_target_incarnation(message.target.life.value);
    for (const member& record : message.records) {
        write_member(record, *wire.add_news());
    }
    for (const rumor& record : message.rumors) {
        auto* target = wire.add_rumors();
        target->set_topic(record.topic);
        target->set_payload(record.payload);
    }
    wire.set_digest(message.digest);
    wire.mutable_bucket_digests()->Add(message.bucket_digests.begin(), message.bucket_digests.end());
    wire.set_cursor(message.cursor);
    wire.set_complete(message.complete);
    wire.set_bucket(message.bucket);
    wire.set_fleet(message.fleet);
    return wire.SerializeAsString();
}

std::optional<swim_message> decode(std::string_view datagram) {
    proto::datagram wire;
    if (!wire.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())) ||
        wire.version() != protocol_version || !is_known_kind(wire.kind())) {
        return std::nullopt;
    }
    swim_message message;
    message.fleet = wire.fleet();
    message.kind = static_cast<message_kind>(wire.kind());
    message.sequence = wire.sequence();
    message.sender = {internal::unpack_address(wire.sender_address()), {wire.sender_incarnation()}};
    message.sender_membership_address =
        internal::unpack_address_relative_to(wire.sender_membership_address(), wire.sender_address());
    message.sender_admin_address =
        internal::unpack_address_relative_to(wire.sender_admin_address(), wire.sender_address());
    message.sender_update_number = wire.sender_news();
    message.revision = wire.revision();
    message.target = {internal::unpack_address(wire.target_address()), {wire.target_incarnation()}};
    message.digest = wire.digest();
    message.cursor = wire.cursor();
    message.complete = wire.complete();
    message.bucket = wire.bucket();
    if (message.sender.address.empty() || !read_lists(wire, message)) {
        return std::nullopt;
    }
    return message;
}

std::size_t encoded_bytes(const member& record) {
    proto::member_record wire;
    write_member(record, wire);
    return wire.ByteSizeLong() + list_entry_overhead;
}

std::size_t encoded_bytes(const rumor& record) {
    return rumor_overhead + record.payload.size();
}

} // namespace monsoonlift::membership
