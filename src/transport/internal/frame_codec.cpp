#include "transport/frame_codec.h"

#include "transport/internal/field_writer.h"
#include "transport/proto/frames.pb.h"

#include <google/protobuf/arena.h>

#include <algorithm>
#include <array>

namespace monsoonlift::transport {

namespace {

constexpr std::uint32_t wire_version = 1;
constexpr std::chrono::microseconds longest_time_left = std::chrono::hours(1);

/// Size of the stack buffer into which a frame is parsed; most frames fit, apart from their longer texts.
constexpr std::size_t parse_buffer_bytes = 4096;

template <class Output> using writer = internal::field_writer<Output>;

template <class... Kinds> struct overloaded : Kinds... { using Kinds::operator()...; };
template <class... Kinds> overloaded(Kinds...) -> overloaded<Kinds...>;

std::chrono::microseconds since_epoch(core::wall_time time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
}

template <class Output> void write(const std::vector<header>& headers, int number, writer<Output>& target) {
    for (const auto& field : headers) {
        target.message(number, [&](auto& added) {
            added.text(wire::header::kNameFieldNumber, field.name);
            added.text(wire::header::kValueFieldNumber, field.value);
        });
    }
}

std::vector<header> read(google::protobuf::RepeatedPtrField<wire::header>& source) {
    std::vector<header> headers;
    headers.reserve(static_cast<std::size_t>(source.size()));
    for (auto& field : source) {
        headers.push_back({std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    }
    return headers;
}

std::string_view text_of(const core::root_id& root) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the bytes are read as characters.
    return {reinterpret_cast<const char*>(root.bytes.data()), root.bytes.size()};
}

template <class Output>
void write(const core::call_context& context, writer<Output>& target, core::steady_time now) {
    using wire_context = wire::call_context;
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(core::time_left(context, now));
    target.text(wire_context::kRootFieldNumber, text_of(context.root));
    target.number(wire_context::kDepthFieldNumber, context.depth);
    target.number(wire_context::kRankFieldNumber, context.rank);
    target.number(wire_context::kTimeLeftUsFieldNumber, static_cast<std::uint64_t>(left.count()));
    target.number(wire_context::kAttemptsLeftFieldNumber, context.attempts_left);
    target.text(wire_context::kCallerFieldNumber, context.caller);
    target.text(wire_context::kKeyFieldNumber, context.key);
    target.number(wire_context::kIdempotentFieldNumber, context.idempotent ? 1 : 0);
}

std::optional<core::call_context> read(wire::call_context& source, core::steady_time now) {
    core::call_context context;
    const auto left = std::chrono::microseconds(source.time_left_us());
    const bool valid = source.root().size() == context.root.bytes.size() && source.rank() <= 255 &&
                       left >= std::chrono::microseconds::zero() && left <= longest_time_left;
    if (!valid) {
        return std::nullopt;
    }
    std::copy(source.root().begin(), source.root().end(), context.root.bytes.begin());
    context.depth = source.depth();
    context.rank = static_cast<core::class_rank>(source.rank());
    context.deadline = now + left;
    context.attempts_left = source.attempts_left();
    context.caller = std::move(*source.mutable_caller());
    context.key = std::move(*source.mutable_key());
    context.idempotent = source.idempotent();
    return context;
}

template <class Output> void write(const body_total& total, writer<Output>& target) {
    target.number(wire::body_total::kLengthFieldNumber, total.length);
    target.fixed(wire::body_total::kDigestFieldNumber, total.digest);
}

body_total read(const wire::body_total& source) {
    return {source.length(), source.digest()};
}

template <class Output> void write(const routing::load_report& load, writer<Output>& target) {
    target.number(wire::load_report::kRankFieldNumber, load.level.rank);
    target.number(wire::load_report::kBucketFieldNumber, load.level.bucket);
    target.number(wire::load_report::kRunningFieldNumber, load.running);
    target.number(wire::load_report::kWaitingFieldNumber, load.waiting);
    target.number(wire::load_report::kLimitFieldNumber, load.limit);
}

template <class Output> void write(const attempt_end& end, writer<Output>& target) {
    using wire_end = wire::attempt_end;
    target.number(wire_end::kRunFieldNumber, static_cast<std::uint32_t>(end.run));
    target.number(wire_end::kReasonFieldNumber, static_cast<std::uint32_t>(end.reason));
    target.text(wire_end::kDetailFieldNumber, end.detail);
    if (end.retry_after) {
        target.number(wire_end::kRetryAfterMsFieldNumber,
                      static_cast<std::uint32_t>(end.retry_after->count()));
    }
    if (end.nested_attempts) {
        target.present_number(wire_end::kNestedAttemptsFieldNumber, *end.nested_attempts);
    }
    if (end.load) {
        target.message(wire_end::kLoadFieldNumber, [&](auto& load) { write(*end.load, load); });
    }
    target.number(wire_end::kServiceUsFieldNumber, static_cast<std::uint64_t>(end.service_time.count()));
    if (!end.home.address.empty()) {
        target.text(wire_end::kHomeAddressFieldNumber, end.home.address);
        target.fixed(wire_end::kHomeLifeFieldNumber, end.home.life.value);
    }
    target.number(wire_end::kHomesVersionFieldNumber, end.homes_version);
    if (end.nested_level != admission::shed_level{}) {
        target.present_number(wire_end::kNestedRankFieldNumber, end.nested_level.rank);
        target.present_number(wire_end::kNestedBucketFieldNumber, end.nested_level.bucket);
    }
    target.fixed(wire_end::kSuccessorOfFieldNumber, end.successor_of.value);
    if (end.nested_calls) {
        target.present_number(wire_end::kNestedCallsFieldNumber, *end.nested_calls);
    }
}

routing::load_report read(const wire::load_report& source) {
    routing::load_report load;
    load.level.rank = static_cast<core::class_rank>(std::min(source.rank(), 255U));
    load.level.bucket = source.bucket();
    load.running = source.running();
    load.waiting = source.waiting();
    load.limit = source.limit();
    return load;
}

std::optional<attempt_end> read(wire::attempt_end& source) {
    const bool known = source.run() <= static_cast<std::uint32_t>(core::verdict::may_have_run) &&
                       source.reason() <= static_cast<std::uint32_t>(end_reason::quarantined);
    if (!known) {
        return std::nullopt;
    }
    attempt_end end;
    end.run = static_cast<core::verdict>(source.run());
    end.reason = static_cast<end_reason>(source.reason());
    end.detail = std::move(*source.mutable_detail());
    end.home = {std::move(*source.mutable_home_address()), {source.home_life()}};
    end.homes_version = source.homes_version();
    end.successor_of = {source.successor_of()};
    end.service_time = std::chrono::microseconds(source.service_us());
    if (source.has_nested_attempts()) {
        end.nested_attempts = source.nested_attempts();
    }
    if (source.has_nested_calls()) {
        end.nested_calls = source.nested_calls();
    }
    if (source.retry_after_ms() != 0) {
        end.retry_after = std::chrono::milliseconds(source.retry_after_ms());
    }
    if (source.has_nested_rank() && source.has_nested_bucket()) {
        end.nested_level.rank = static_cast<core::class_rank>(std::min(source.nested_rank(), 255U));
        end.nested_level.bucket = source.nested_bucket();
    }
    if (source.has_load()) {
        end.load = read(source.load());
    }
    return end;
}

template <class Output> void write(const request_head& head, writer<Output>& target, core::steady_time now) {
    using wire_head = wire::request_head;
    target.text(wire_head::kReplyAddressFieldNumber, head.reply_address);
    target.message(wire_head::kContextFieldNumber, [&](auto& context) { write(head.context, context, now); });
    target.text(wire_head::kServiceFieldNumber, head.service);
    target.text(wire_head::kMethodFieldNumber, head.method);
    target.text(wire_head::kTargetFieldNumber, head.target);
    write(head.headers, wire_head::kHeadersFieldNumber, target);
    target.text(wire_head::kBodyFieldNumber, head.body);
    if (head.total) {
        target.message(wire_head::kTotalFieldNumber, [&](auto& total) { write(*head.total, total); });
    }
    if (head.expires != core::wall_time::max()) {
        target.number(wire_head::kExpiresUsFieldNumber,
                      static_cast<std::uint64_t>(since_epoch(head.expires).count()));
    }
    target.number(wire_head::kHomesVersionFieldNumber, head.homes_version);
    target.text(wire_head::kGateAddressFieldNumber, head.gate_address);
}

std::optional<request_head> read(wire::request_head& source, core::steady_time now) {
    auto context = read(*source.mutable_context(), now);
    if (!context) {
        return std::nullopt;
    }
    request_head head;
    head.context = std::move(*context);
    head.reply_address = std::move(*source.mutable_reply_address());
    head.gate_address = std::move(*source.mutable_gate_address());
    head.service = std::move(*source.mutable_service());
    head.method = std::move(*source.mutable_method());
    head.target = std::move(*source.mutable_target());
    head.headers = read(*source.mutable_headers());
    head.body = std::move(*source.mutable_body());
    head.homes_version = source.homes_version();
    if (source.expires_us() != 0) {
        head.expires = core::wall_time(std::chrono::microseconds(source.expires_us()));
    }
    if (source.has_total()) {
        head.total = read(source.total());
    }
    return head;
}

template <class Output> void write(const response_head& head, writer<Output>& target) {
    using wire_head = wire::response_head;
    target.number(wire_head::kStatusFieldNumber, head.status);
    target.text(wire_head::kReasonFieldNumber, head.reason);
    write(head.headers, wire_head::kHeadersFieldNumber, target);
    target.text(wire_head::kBodyFieldNumber, head.body);
    if (head.total) {
        target.message(wire_head::kTotalFieldNumber, [&](auto& total) { write(*head.total, total); });
        target.message(wire_head::kEndFieldNumber, [&](auto& end) { write(head.end, end); });
    }
}

std::optional<response_head> read(wire::response_head& source) {
    response_head head;
    head.status = source.status();
    head.reason = std::move(*source.mutable_reason());
    head.headers = read(*source.mutable_headers());
    head.body = std::move(*source.mutable_body());
    if (!source.has_total()) {
        return head;
    }
    auto end = read(*source.mutable_end());
    if (!end) {
        return std::nullopt;
    }
    head.total = read(source.total());
    head.end = std::move(*end);
    return head;
}

std::optional<body_end> read(wire::body_end& source) {
    body_end end{read(source.total()), std::nullopt};
    if (source.has_end()) {
        end.end = read(*source.mutable_end());
        if (!end.end) {
            return std::nullopt;
        }
    }
    return end;
}

template <class Output> void write(const body_chunk& chunk, writer<Output>& target) {
    target.number(wire::body_chunk::kOffsetFieldNumber, chunk.offset);
    target.text(wire::body_chunk::kDataFieldNumber, chunk.data);
}

template <class Output> void write(const body_end& end, writer<Output>& target) {
    target.message(wire::body_end::kTotalFieldNumber, [&](auto& total) { write(end.total, total); });
    if (end.end) {
        target.message(wire::body_end::kEndFieldNumber, [&](auto& inner) { write(*end.end, inner); });
    }
}

template <class Output> void write(const credit& granted, writer<Output>& target) {
    target.number(wire::credit::kChunksFieldNumber, granted.chunks);
}

template <class Output> void write(const link_opening& opening, writer<Output>& target) {
    target.number(wire::link_opening::kLinkFieldNumber, opening.link);
    target.number(wire::link_opening::kFirstSequenceFieldNumber, opening.first_sequence);
}

template <class Output>
void write_payload(const frame& message, writer<Output>& target, core::steady_time now) {
    const auto add = [&](int number, const auto& payload) {
        target.message(number, [&](auto& inner) { write(payload, inner); });
    };
    const auto add_empty = [&](int number) {
        target.message(number, [](auto& /*inner*/) {});
    };
    std::visit(overloaded{
                   [&](const request_head& head) {
                       target.message(wire::frame::kRequestFieldNumber,
                                      [&](auto& inner) { write(head, inner, now); });
                   },
                   [&](const response_head& head) { add(wire::frame::kResponseFieldNumber, head); },
                   [&](const body_chunk& chunk) { add(wire::frame::kChunkFieldNumber, chunk); },
                   [&](const body_end& end) { add(wire::frame::kEndFieldNumber, end); },
                   [&](const credit& granted) { add(wire::frame::kCreditFieldNumber, granted); },
                   [&](const cancel&) { add_empty(wire::frame::kCancelFieldNumber); },
                   [&](const attempt_end& end) { add(wire::frame::kFailureFieldNumber, end); },
                   [&](const link_opening& opening) { add(wire::frame::kOpeningFieldNumber, opening); },
                   [&](const status_query&) { add_empty(wire::frame::kQueryFieldNumber); },
                   [&](const status_in_progress&) { add_empty(wire::frame::kInProgressFieldNumber); },
               },
               message.payload);
}

template <class Output> void write(const frame& message, writer<Output>& target, core::steady_time now) {
    target.number(wire::frame::kVersionFieldNumber, wire_version);
    target.fixed(wire::frame::kReceiverFieldNumber, message.receiver.value);
    target.fixed(wire::frame::kSenderFieldNumber, message.sender.value);
    target.fixed(wire::frame::kOriginFieldNumber, message.attempt.origin.value);
    target.number(wire::frame::kCallFieldNumber, message.attempt.call);
    target.number(wire::frame::kAttemptFieldNumber, message.attempt.attempt);
    target.number(wire::frame::kToGateFieldNumber, message.target == frame_target::gate ? 1 : 0);
    write_payload(message, target, now);
}

template <class Payload> bool store(frame& message, std::optional<Payload> payload) {
    if (!payload) {
        return false;
    }
    message.payload = std::move(*payload);
    return true;
}

bool read_payload(wire::frame& source, frame& message, core::steady_time now) {
    switch (source.payload_case()) {
    case wire::frame::kRequest:
        return store(message, read(*source.mutable_request(), now));
    case wire::frame::kResponse:
        return store(message, read(*source.mutable_response()));
    case wire::frame::kChunk:
        message.payload =
            body_chunk{source.chunk().offset(), std::move(*source.mutable_chunk()->mutable_data())};
        return true;
    case wire::frame::kEnd:
        return store(message, read(*source.mutable_end()));
    case wire::frame::kCredit:
        message.payload = credit{source.credit().chunks()};
        return true;
    case wire::frame::kCancel:
        message.payload = cancel{};
        return true;
    case wire::frame::kQuery:
        message.payload = status_query{};
        return true;
    case wire::frame::kInProgress:
        message.payload = status_in_progress{};
        return true;
    case wire::frame::kFailure:
        return store(message, read(*source.mutable_failure()));
    case wire::frame::kOpening:
        message.payload = link_opening{source.opening().link(), source.opening().first_sequence()};
        return true;
    case wire::frame::PAYLOAD_NOT_SET:
        return false;
    }
    return false;
}

} // namespace

std::string encode(const frame& message, core::steady_time now, std::size_t room) {
    return internal::written(room, [&](auto& target) { write(message, target, now); });
}

std::optional<frame> decode(std::string_view bytes, core::steady_time now) {
    alignas(std::max_align_t) std::array<char, parse_buffer_bytes> buffer;
    google::protobuf::ArenaOptions options;
    options.initial_block = buffer.data();
    options.initial_block_size = buffer.size();
    google::protobuf::Arena arena(options);
    auto& source = *google::protobuf::Arena::CreateMessage<wire::frame>(&arena);
    if (!source.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    if (source.version() != wire_version) {
        return std::nullopt;
    }
    frame message;
    message.receiver.value = source.receiver();
    message.sender.value = source.sender();
    message.attempt = {{source.origin()}, source.call(), source.attempt()};
    message.target = source.to_gate() ? frame_target::gate : frame_target::entry;
    message.rewritten = source.rewritten();
    const auto held_up = std::chrono::microseconds(source.held_up_us());
    if (held_up < std::chrono::microseconds::zero() || held_up > longest_time_left) {
        return std::nullopt;
    }
    if (!read_payload(source, message, now - held_up)) {
        return std::nullopt;
    }
    return message;
}

void append_delay(std::string& bytes, std::chrono::microseconds held_up, bool rewritten) {
    // NOTE: a message that is parsed from the concatenation of two holds the fields of both.
    wire::frame appended;
    appended.set_held_up_us(std::min(held_up, longest_time_left).count());
    appended.set_rewritten(rewritten);
    appended.AppendToString(&bytes);
}

} // namespace monsoonlift::transport
