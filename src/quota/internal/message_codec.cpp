#include "quota/message_codec.h"

#include "quota/proto/quota.pb.h"
#include "quota/quota_rules.h"

namespace monsoonlift::quota {

namespace {

ask_message read(const proto::ask& source) {
    ask_message message{source.shard(), source.sequence(), {}, {}};
    for (const auto& each : source.asks()) {
        message.asks.push_back({each.account(), each.needed(), each.ahead(), each.arrived()});
    }
    for (const auto& each : source.returned()) {
        message.returned.push_back({each.account(), each.sequence(), each.tokens()});
    }
    return message;
}

grant_message read(const proto::grant& source) {
    grant_message message;
    message.shard = source.shard();
    message.sequence = source.sequence();
    message.holds = source.holds();
    message.holder = {source.holder_address(), {source.holder_incarnation()}};
    for (const auto& each : source.grants()) {
        message.grants.push_back({each.account(), each.tokens(), each.refused(),
                                  std::chrono::milliseconds(each.retry_after_ms()), each.demand()});
    }
    for (const auto& each : source.demands()) {
        message.demands.push_back({each.account(), each.demand()});
    }
    return message;
}

} // namespace

std::string encode(const ask_message& message) {
    proto::quota_message wire;
    auto& target = *wire.mutable_request();
    target.set_shard(message.shard);
    target.set_sequence(message.sequence);
    for (const auto& each : message.asks) {
        auto& ask = *target.add_asks();
        ask.set_account(each.account);
        ask.set_needed(each.needed);
        ask.set_ahead(each.ahead);
        ask.set_arrived(each.arrived);
    }
    for (const auto& each : message.returned) {
        auto& lot = *target.add_returned();
        lot.set_account(each.account);
        lot.set_sequence(each.sequence);
        lot.set_tokens(each.tokens);
    }
    return wire.SerializeAsString();
}

std::string encode(const grant_message& message) {
    proto::quota_message wire;
    auto& target = *wire.mutable_answer();
    target.set_shard(message.shard);
    target.set_sequence(message.sequence);
    target.set_holds(message.holds);
    target.set_holder_address(message.holder.address);
    target.set_holder_incarnation(message.holder.life.value);
    for (const auto& each : message.grants) {
        auto& grant = *target.add_grants();
        grant.set_account(each.account);
        grant.set_tokens(each.tokens);
        grant.set_refused(each.refused);
        grant.set_retry_after_ms(static_cast<std::uint32_t>(each.retry_after.count()));
        grant.set_demand(static_cast<float>(each.demand));
    }
    for (const auto& each : message.demands) {
        auto& report = *target.add_demands();
        report.set_account(each.account);
        report.set_demand(static_cast<float>(each.demand));
    }
    return wire.SerializeAsString();
}

std::optional<quota_message> decode(std::string_view payload) {
    proto::quota_message wire;
    if (!wire.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return std::nullopt;
    }
    if (wire.has_request() && wire.request().shard() < shard_count) {
        return read(wire.request());
    }
    if (wire.has_answer() && wire.answer().shard() < shard_count) {
        return read(wire.answer());
    }
    return std::nullopt;
}

} // namespace monsoonlift::quota
