#include "transport/frame_codec.h"

#include "transport/proto/frames.pb.h"

#include <google/protobuf/arena.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace monsoonlift::transport {

namespace {

constexpr std::uint32_t wire_version = 1;
constexpr std::chrono::microseconds longest_time_left = std::chrono::hours(1);

/// Memory of one message of the schema, on the stack; most frames fit, apart from their longer texts.
class message_memory {
public:
    [[nodiscard]] wire::frame& make() {
        return *google::protobuf::Arena::CreateMessage<wire::frame>(&m_arena);
    }

private:
    static constexpr std::size_t buffer_bytes = 4096;

    [[nodiscard]] google::protobuf::ArenaOptions options() {
        google::protobuf::ArenaOptions chosen;
        chosen.initial_block = m_buffer.data();
        chosen.initial_block_size = m_buffer.size();
        return chosen;
    }

    alignas(std::max_align_t) std::array<char, buffer_bytes> m_buffer;
    google::protobuf::Arena m_arena{options()};
};

template <class... Kinds> struct overloaded : Kinds... { using Kinds::operator()...; };
template <class... Kinds> overloaded(Kinds...) -> overloaded<Kinds...>;

std::chrono::microseconds since_epoch(core::wall_time time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
}

void write(const std::vector<header>& headers, google::protobuf::RepeatedPtrField<wire::header>& target) {
    for (const auto& field : headers) {
        auto* added = target.Add();
        added->set_name(field.name);
        added->set_value(field.value);
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

void write(const core::call_context& context, wire::call_context& target, core::steady_time now) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(core::time_left(context, now));
    target.mutable_root()->resize(context.root.bytes.size());
    std::ranges::copy(context.root.bytes, target.mutable_root()->begin());
    target.set_depth(context.depth);
    target.set_rank(context.rank);
    target.set_time_left_us(left.count());
    target.set_attempts_left(context.attempts_left);
    target.set_caller(context.caller);
    target.set_key(context.key);
    target.set_idempotent(context.idempotent);
    if (!context.account.empty()) {
        target.set_account(context.account);
    }
    if (context.position) {
        target.set_position(*context.position);
    }
    target.set_work_spent(context.work_spent);
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
    context.account = std::move(*source.mutable_account());
    if (source.has_position()) {
        context.position = source.position();
    }
    context.work_spent = source.work_spent();
    return context;
}

void write(const body_total& total, wire::body_total& target) {
    target.set_length(total.length);
    target.set_digest(total.digest);
}

body_total read(const wire::body_total& source) {
    return {source.length(), source.digest()};
}

void write(const attempt_end& end, wire::attempt_end& target) {
    target.set_run(static_cast<std::uint32_t>(end.run));
    target.set_reason(static_cast<std::uint32_t>(end.reason));
    target.set_detail(end.detail);
    target.set_service_us(end.service_time.count());
    if (!end.home.address.empty()) {
        target.set_home_address(end.home.address);
        target.set_home_life(end.home.life.value);
    }
    target.set_homes_version(end.homes_version);
    target.set_successor_of(end.successor_of.value);
    if (end.nested_attempts) {
        target.set_nested_attempts(*end.nested_attempts);
    }
    if (end.nested_calls) {
        target.set_nested_calls(*end.nested_calls);
    }
    if (end.retry_after) {
        target.set_retry_after_ms(static_cast<std::uint32_t>(end.retry_after->count()));
    }
    if (end.nested_level != admission::shed_level{}) {
        target.set_nested_rank(end.nested_level.rank);
        target.set_nested_bucket(end.nested_level.bucket);
    }
    if (end.load) {
        auto& load = *target.mutable_load();
        load.set_rank(end.load->level.rank);
        load.set_bucket(end.load->level.bucket);
        load.set_running(end.load->running);
        load.set_waiting(end.load->waiting);
        load.set_limit(end.load->limit);
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

void write(const request_head& head, wire::request_head& target, core::steady_time now) {
    target.set_reply_address(head.reply_address);
    target.set_gate_address(head.gate_address);
    write(head.context, *target.mutable_context(), now);
    target.set_service(head.service);
    if (!head.kind.empty()) {
        target.set_kind(head.kind);
    }
    target.set_method(head.method);
    target.set_target(head.target);
    write(head.headers, *target.mutable_headers());
    target.set_body(head.body);
    target.set_homes_version(head.homes_version);
    if (head.expires != core::wall_time::max()) {
        target.set_expires_us(since_epoch(head.expires).count());
    }
    if (head.total) {
        write(*head.total, *target.mutable_total());
    }
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
    head.kind = std::move(*source.mutable_kind());
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

void write(const response_head& head, wire::response_head& target) {
    target.set_status(head.status);
    target.set_reason(head.reason);
    write(head.headers, *target.mutable_headers());
    target.set_body(head.body);
    if (head.total) {
        write(*head.total, *target.mutable_total());
        write(head.end, *target.mutable_end());
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

void write_payload(const frame& message, wire::frame& target, core::steady_time now) {
    std::visit(overloaded{
                   [&](const request_head& head) { write(head, *target.mutable_request(), now); },
                   [&](const response_head& head) { write(head, *target.mutable_response()); },
                   [&](const body_chunk& chunk) {
                       target.mutable_chunk()->set_offset(chunk.offset);
                       target.mutable_chunk()->set_data(chunk.data);
                   },
                   [&](const body_end& end) {
                       write(end.total, *target.mutable_end()->mutable_total());
                       if (end.end) {
                           write(*end.end, *target.mutable_end()->mutable_end());
                       }
                   },
                   [&](const credit& granted) { target.mutable_credit()->set_chunks(granted.chunks); },
                   [&](const cancel&) { target.mutable_cancel(); },
                   [&](const attempt_end& end) { write(end, *target.mutable_failure()); },
                   [&](const status_query&) { target.mutable_query(); },
                   [&](const status_in_progress&) { target.mutable_in_progress(); },
                   [&](const control_message& control) {
                       target.mutable_control()->set_topic(static_cast<std::uint32_t>(control.topic));
                       target.mutable_control()->set_reply_address(control.reply_address);
                       target.mutable_control()->set_payload(control.payload);
                   },
                   [&](const link_opening& opening) {
                       target.mutable_opening()->set_link(opening.link);
                       target.mutable_opening()->set_first_sequence(opening.first_sequence);
                   },
               },
               message.payload);
}

void write(const frame& message, wire::frame& target, core::steady_time now) {
    target.set_version(wire_version);
    target.set_receiver(message.receiver.value);
    target.set_sender(message.sender.value);
    target.set_origin(message.attempt.origin.value);
    target.set_call(message.attempt.call);
    target.set_attempt(message.attempt.attempt);
    target.set_to_gate(message.target == frame_target::gate);
    write_payload(message, target, now);
}

template <class Payload> bool store(frame& message, std::optional<Payload> payload) {
    if (!payload) {
        return false;
    }
    message.payload = std::move(*payload);
    return true;
}

std::optional<control_message> read(wire::control& source) {
    if (source.topic() > static_cast<std::uint32_t>(control_topic::quota)) {
        return std::nullopt;
    }
    return control_message{static_cast<control_topic>(source.topic()),
                           std::move(*source.mutable_reply_address()), std::move(*source.mutable_payload())};
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
    case wire::frame::kControl:
        message.target = frame_target::control;
        return store(message, read(*source.mutable_control()));
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
    message_memory memory;
    auto& target = memory.make();
    write(message, target, now);
    std::string bytes;
    bytes.reserve(room + target.ByteSizeLong());
    bytes.resize(room);
    target.AppendToString(&bytes);
    return bytes;
}

std::optional<frame> decode(std::string_view bytes, core::steady_time now) {
    message_memory memory;
    auto& source = memory.make();
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
