#include "gate/context_token.h"

#include <array>
#include <charconv>

namespace monsoonlift::gate {

namespace {

constexpr std::size_t field_count = 6;
constexpr std::uint64_t max_depth = 1000;

using text_fields = std::array<std::string_view, field_count>;

std::optional<text_fields> split(std::string_view text) {
    text_fields fields;
    for (std::size_t index = 0; index < field_count; ++index) {
        const auto dot = text.find('.');
        const bool last = index + 1 == field_count;
        if (last != (dot == std::string_view::npos)) {
            return std::nullopt;
        }
        fields[index] = text.substr(0, dot);
        text.remove_prefix(last ? text.size() : dot + 1);
    }
    return fields;
}

std::optional<std::uint64_t> number(std::string_view text, std::uint64_t highest) {
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size() || value > highest) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string to_string(const context_token& token) {
    const auto deadline =
        std::chrono::duration_cast<std::chrono::microseconds>(token.deadline.time_since_epoch());
    std::string text = core::to_string(token.root);
    for (const std::uint64_t value :
         {std::uint64_t{token.depth}, std::uint64_t{token.rank}, static_cast<std::uint64_t>(deadline.count()),
          token.run, token.issuer.value}) {
        text += '.';
        text += std::to_string(value);
    }
    return text;
}

std::optional<context_token> parse_context_token(std::string_view text) {
    const auto fields = split(text);
    if (!fields) {
        return std::nullopt;
    }
    const auto root = core::parse_root_id((*fields)[0]);
    const auto depth = number((*fields)[1], max_depth);
    const auto rank = number((*fields)[2], 255);
    const auto deadline = number((*fields)[3], INT64_MAX / 1000);
    const auto run = number((*fields)[4], UINT64_MAX);
    const auto issuer = number((*fields)[5], UINT64_MAX);
    if (!root || !depth || !rank || !deadline || !run || !issuer) {
        return std::nullopt;
    }
    context_token token;
    token.root = *root;
    token.depth = static_cast<std::uint32_t>(*depth);
    token.rank = static_cast<core::class_rank>(*rank);
    token.deadline = core::steady_time(std::chrono::microseconds(*deadline));
    token.run = *run;
    token.issuer = {*issuer};
    return token;
}

} // namespace monsoonlift::gate
