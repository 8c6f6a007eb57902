#include "logging/event_format.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <utility>

namespace monsoonlift::logging {

namespace {

/// Names of the fields that every line has.
constexpr std::array<std::string_view, 5> common_fields = {"time", "event", "name", "severity", "process"};

/// Space taken for a line at once; most lines fit.
constexpr std::size_t usual_line_bytes = 512;

static_assert(std::is_sorted(event_catalogue.begin(), event_catalogue.end(),
                             [](const auto& one, const auto& other) { return one.id < other.id; }));

constexpr std::string_view hexadecimal = "0123456789abcdef";

/// For each byte the letter after the backslash that stands for it: 'u' if it is written by its number, 0 if
/// it needs no backslash.
using escape_table = std::array<char, 256>;

constexpr escape_table make_escapes() {
    escape_table escapes{};
    std::fill_n(escapes.begin(), static_cast<std::size_t>(' '), 'u');
    for (const auto& [character, letter] :
         {std::pair('"', '"'), std::pair('\\', '\\'), std::pair('\b', 'b'), std::pair('\f', 'f'),
          std::pair('\n', 'n'), std::pair('\r', 'r'), std::pair('\t', 't')}) {
        escapes.at(static_cast<std::size_t>(character)) = letter;
    }
    return escapes;
}

constexpr escape_table escapes = make_escapes();

char escape_of(char character) {
    return escapes[static_cast<unsigned char>(character)];
}

void append_escaped(std::string& line, char character, char escape) {
    line += '\\';
    line += escape;
    if (escape == 'u') {
        const auto code = static_cast<unsigned char>(character);
        line += "00";
        line += hexadecimal[code / hexadecimal.size()];
        line += hexadecimal[code % hexadecimal.size()];
    }
}

void append_text(std::string& line, std::string_view text) {
    line += '"';
    std::size_t plain = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (const char escape = escape_of(text[index]); escape != '\0') {
            line.append(text, plain, index - plain);
            append_escaped(line, text[index], escape);
            plain = index + 1;
        }
    }
    line.append(text, plain);
    line += '"';
}

/// Begins a field after the first. Names are words of the code, which need no escapes.
void append_name(std::string& line, std::string_view name) {
    line += ",\"";
    line += name;
    line += "\":";
}

void append_field(std::string& line, std::string_view name, std::string_view value) {
    append_name(line, name);
    append_text(line, value);
}

/// Appends a number with leading zeros.
void append_digits(std::string& text, std::uint64_t number, std::size_t digits) {
    constexpr std::uint64_t base = 10;
    text.append(digits, '0');
    for (auto place = text.rbegin(); number > 0 && digits > 0; ++place, --digits, number /= base) {
        *place = static_cast<char>('0' + number % base);
    }
}

/// Whether an earlier field of the line has that name; the first one is written.
bool is_repeated(std::span<const field> fields, std::size_t index) {
    const auto name = fields[index].name;
    const auto earlier = fields.first(index);
    return std::find(common_fields.begin(), common_fields.end(), name) != common_fields.end() ||
           std::any_of(earlier.begin(), earlier.end(), [&](const field& one) { return one.name == name; });
}

} // namespace

std::string_view to_string(severity level) {
    switch (level) {
    case severity::info:
        return "info";
    case severity::notice:
        return "notice";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

std::string utc_text(core::wall_time when) {
    const auto micros = std::chrono::floor<std::chrono::microseconds>(when);
    const auto day = std::chrono::floor<std::chrono::days>(micros);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss time(micros - day);
    std::string text;
    text.reserve(std::string_view("2026-03-12T19:04:05.123456Z").size());
    append_digits(text, static_cast<std::uint64_t>(static_cast<int>(date.year())), 4);
    text += '-';
    append_digits(text, static_cast<unsigned>(date.month()), 2);
    text += '-';
    append_digits(text, static_cast<unsigned>(date.day()), 2);
    text += 'T';
    append_digits(text, static_cast<std::uint64_t>(time.hours().count()), 2);
    text += ':';
    append_digits(text, static_cast<std::uint64_t>(time.minutes().count()), 2);
    text += ':';
    append_digits(text, static_cast<std::uint64_t>(time.seconds().count()), 2);
    text += '.';
    append_digits(text, static_cast<std::uint64_t>(time.subseconds().count()), 6);
    text += 'Z';
    return text;
}

const event_description* describe(event_id id) {
    const auto* found =
        std::lower_bound(event_catalogue.begin(), event_catalogue.end(), id,
                         [](const event_description& entry, event_id wanted) { return entry.id < wanted; });
    return found == event_catalogue.end() || found->id != id ? nullptr : found;
}

std::string format_event(core::wall_time when, event_id id, std::string_view process,
                         std::span<const field> fields) {
    std::string line;
    line.reserve(usual_line_bytes);
    line += "{\"time\":\"";
    line += utc_text(when);
    line += '"';
    append_name(line, "event");
    line += std::to_string(static_cast<std::uint16_t>(id));
    if (const event_description* entry = describe(id); entry != nullptr) {
        append_field(line, "name", entry->name);
        append_field(line, "severity", to_string(entry->level));
    }
    append_field(line, "process", process);
    for (std::size_t index = 0; index < fields.size(); ++index) {
        if (!is_repeated(fields, index)) {
            append_field(line, fields[index].name, fields[index].value);
        }
    }
    line += '}';
    return line;
}

} // namespace monsoonlift::logging
