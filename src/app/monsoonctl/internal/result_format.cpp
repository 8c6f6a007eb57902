#include "app/monsoonctl/result_format.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace monsoonlift::monsoonctl {

namespace json = boost::json;

std::string utc_text(core::wall_time when) {
    constexpr std::size_t longest = 32;
    const auto seconds = std::chrono::system_clock::to_time_t(when);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, longest> text{};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), length};
}

std::string entry_text(const configuration::audit_entry& entry) {
    std::string text = "revision " + std::to_string(entry.revision) + " (from " +
                       std::to_string(entry.from_revision) + ") " + utc_text(entry.when) + " " + entry.who;
    if (!entry.message.empty()) {
        text += ": " + entry.message;
    }
    return text + "\n" + indented(entry.changes);
}

json::array entry_values(const std::vector<configuration::audit_entry>& entries) {
    json::array values;
    for (const auto& entry : entries) {
        values.emplace_back(json::object{{"revision", entry.revision},
                                         {"from_revision", entry.from_revision},
                                         {"when", utc_text(entry.when)},
                                         {"who", entry.who},
                                         {"message", entry.message},
                                         {"submission", entry.submission},
                                         {"changes", line_values(entry.changes)}});
    }
    return values;
}

std::string error_text(const std::vector<settings::settings_error>& errors) {
    std::string text;
    for (const auto& error : errors) {
        text += settings::to_string(error) + "\n";
    }
    return text;
}

json::array error_values(const std::vector<settings::settings_error>& errors) {
    json::array values;
    for (const auto& error : errors) {
        values.emplace_back(json::object{
            {"path", error.path}, {"line", error.line}, {"found", error.found}, {"allowed", error.allowed}});
    }
    return values;
}

json::array line_values(const std::vector<std::string>& lines) {
    json::array values;
    for (const auto& line : lines) {
        values.emplace_back(line);
    }
    return values;
}

std::string indented(const std::vector<std::string>& lines) {
    std::string text;
    for (const auto& line : lines) {
        text += "  " + line + "\n";
    }
    return text;
}

std::string without_key_digests(const std::string& document) {
    constexpr std::size_t digest_length = 64;
    constexpr auto digits = "0123456789abcdefABCDEF";
    std::string text;
    std::size_t at = 0;
    while (at < document.size()) {
        const auto begin = std::min(document.find_first_of(digits, at), document.size());
        const auto end = std::min(document.find_first_not_of(digits, begin), document.size());
        text.append(document, at, begin - at);
        if (end - begin >= digest_length) {
            text += "(digest)";
        } else {
            text.append(document, begin, end - begin);
        }
        at = end;
    }
    return text;
}

exit_code exit_code_of(const core::error& failure) {
    switch (failure.code) {
    case core::error_code::conflict:
        return exit_code::conflict;
    case core::error_code::unavailable:
    case core::error_code::timeout:
        return exit_code::unavailable;
    default:
        return exit_code::refused;
    }
}

} // namespace monsoonlift::monsoonctl
