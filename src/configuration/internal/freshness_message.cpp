#include "configuration/freshness_message.h"

#include "configuration/proto/freshness.pb.h"

#include <chrono>

namespace monsoonlift::configuration {

namespace {

/// A greater age is as useless as none; the limit keeps sums of times in range.
constexpr std::chrono::microseconds max_age = std::chrono::hours(24);

} // namespace

std::string encode(const freshness_message& message) {
    proto::freshness written;
    if (const auto* question = std::get_if<freshness_question>(&message)) {
        written.set_question(question->number);
    } else {
        const auto& answer = std::get<freshness_answer>(message);
        written.set_question(answer.question);
        written.set_is_answer(true);
        written.set_revision(answer.revision);
        written.set_age_us(static_cast<std::uint64_t>(answer.age.count()));
        written.set_accepted(answer.accepted);
        written.set_known_era(answer.known_era);
    }
    return written.SerializeAsString();
}

std::optional<freshness_message> decode_freshness_message(const std::string& payload) {
    proto::freshness read;
    if (!read.ParseFromString(payload) || read.question() == 0) {
        return std::nullopt;
    }
    if (!read.is_answer()) {
        return freshness_question{read.question()};
    }
    if (read.revision() == 0 || read.age_us() > static_cast<std::uint64_t>(max_age.count())) {
        return std::nullopt;
    }
    return freshness_answer{read.question(), read.revision(),
                            std::chrono::microseconds(static_cast<std::int64_t>(read.age_us())),
                            read.accepted(), read.known_era()};
}

} // namespace monsoonlift::configuration
