#include "configuration/stored_configuration_json.h"

#include <array>
#include <chrono>

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace monsoonlift::configuration {

namespace json = boost::json;

namespace {

constexpr std::uint64_t envelope_format = 1;

std::int64_t to_unix_ms(core::wall_time when) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(when.time_since_epoch()).count();
}

json::object entry_value(const audit_entry& entry) {
    json::array changes;
    for (const auto& change : entry.changes) {
        changes.emplace_back(change);
    }
    return {{"revision", entry.revision},
            {"from_revision", entry.from_revision},
            {"who", entry.who},
            {"message", entry.message},
            {"submission", entry.submission},
            {"when_ms", to_unix_ms(entry.when)},
            {"changes", std::move(changes)}};
}

json::array entry_values(const std::vector<audit_entry>& entries) {
    json::array values;
    for (const auto& entry : entries) {
        values.emplace_back(entry_value(entry));
    }
    return values;
}

std::string text_at(const json::value& value, const char* key) {
    return json::value_to<std::string>(value.at(key));
}

std::uint64_t number_at(const json::value& value, const char* key) {
    return value.at(key).to_number<std::uint64_t>();
}

audit_entry read_entry(const json::value& value) {
    audit_entry entry;
    entry.revision = number_at(value, "revision");
    entry.from_revision = number_at(value, "from_revision");
    entry.who = text_at(value, "who");
    entry.message = text_at(value, "message");
    entry.submission = text_at(value, "submission");
    entry.when = core::wall_time(std::chrono::milliseconds(value.at("when_ms").to_number<std::int64_t>()));
    for (const auto& change : value.at("changes").as_array()) {
        entry.changes.push_back(json::value_to<std::string>(change));
    }
    return entry;
}

std::vector<audit_entry> read_entries(const json::value& value) {
    std::vector<audit_entry> entries;
    for (const auto& each : value.as_array()) {
        entries.push_back(read_entry(each));
    }
    return entries;
}

std::string to_hexadecimal(const unsigned char* bytes, std::size_t count) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t at = 0; at < count; ++at) {
        text.push_back(digits[bytes[at] / digits.size()]);
        text.push_back(digits[bytes[at] % digits.size()]);
    }
    return text;
}

} // namespace

std::string to_json(const stored_configuration& stored) {
    return json::serialize(json::object{{"format", envelope_format},
                                        {"revision", stored.revision},
                                        {"submission", stored.submission},
                                        {"digest", stored.digest},
                                        {"document", stored.document},
                                        {"audit", entry_values(stored.audit)},
                                        {"previous_archive", stored.previous_archive}});
}

std::string to_json(const audit_archive& archive) {
    return json::serialize(json::object{{"format", envelope_format},
                                        {"previous_archive", archive.previous_archive},
                                        {"entries", entry_values(archive.entries)}});
}

std::string to_json(const audit_entry& entry) {
    return json::serialize(entry_value(entry));
}

std::optional<stored_configuration> parse_stored_configuration(std::string_view text) {
    try {
        const auto value = json::parse(text);
        if (number_at(value, "format") != envelope_format) {
            return std::nullopt;
        }
        stored_configuration stored;
        stored.revision = number_at(value, "revision");
        stored.submission = text_at(value, "submission");
        stored.digest = text_at(value, "digest");
        stored.document = text_at(value, "document");
        stored.audit = read_entries(value.at("audit"));
        stored.previous_archive = text_at(value, "previous_archive");
        return stored;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<audit_archive> parse_audit_archive(std::string_view text) {
    try {
        const auto value = json::parse(text);
        return audit_archive{text_at(value, "previous_archive"), read_entries(value.at("entries"))};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string digest_of(const stored_configuration& stored) {
    const auto text = std::to_string(stored.revision) + "\n" + stored.submission + "\n" + stored.document;
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int length = 0;
    if (EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr) != 1) {
        return {};
    }
    return to_hexadecimal(bytes.data(), length);
}

} // namespace monsoonlift::configuration
