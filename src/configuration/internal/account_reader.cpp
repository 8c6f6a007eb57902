#include "configuration/internal/account_reader.h"

#include "configuration/internal/service_reader.h"

#include <utility>

namespace monsoonlift::configuration::internal {

namespace {

using settings::yaml_reader;

const std::vector<std::string> account_keys{"name", "key_digests", "class", "rate_per_second", "burst"};

/// In a document that was accepted elsewhere, an entry also says what of it its writer could not read.
const std::vector<std::string> accepted_keys{"name",  "key_digests", "class", "rate_per_second",
                                             "burst", "left_out"};

std::vector<accounts::key_digest> read_digests(yaml_reader& reader) {
    std::vector<accounts::key_digest> digests;
    for (const auto& text : reader.string_list("key_digests")) {
        if (const auto digest = accounts::parse_key_digest(text)) {
            digests.push_back(*digest);
        } else {
            reader.report("key_digests", std::to_string(text.size()) + " characters",
                          "SHA-256 digests of API keys as 64 hexadecimal digits");
        }
    }
    return digests;
}

accounts::account read_account(yaml_reader& reader, const std::vector<std::string>& classes,
                               const document_limits& limits) {
    reader.refuse_unknown_keys(limits.skips_faulty_accounts ? accepted_keys : account_keys);
    accounts::account read;
    read.name = reader.optional_string("name", "");
    if (!read.name.empty() && !is_name(read.name, limits)) {
        reader.report("name", "\"" + read.name + "\"", name_rule);
    }
    read.keys = read_digests(reader);
    if (reader.has("class")) {
        read.rank = rank_of(classes, read_listed(reader, "class", classes));
    }
    read.limit.rate_per_second = reader.number("rate_per_second", 0, max_account_rate, 0);
    read.limit.burst = reader.number("burst", 0, max_account_rate, 0);
    return read;
}

} // namespace

void hide_keys(std::vector<settings::settings_error>& errors) {
    for (auto& error : errors) {
        if (error.path.ends_with(".key_digests") && error.found.starts_with('"')) {
            error.found = "a single text";
        }
    }
}

account_list read_accounts(yaml_reader& root, const std::vector<std::string>& classes,
                           const document_limits& limits) {
    account_list list;
    if (!root.has("accounts")) {
        return list;
    }
    list.table.emplace();
    for (auto& reader : root.map_list("accounts")) {
        if (limits.skips_faulty_accounts && reader.has("left_out")) {
            list.left_out.push_back(reader.required_string("left_out"));
            if (!reader.has("name")) {
                continue;
            }
        }
        for (auto& fault : accounts::add(*list.table, read_account(reader, classes, limits))) {
            if (limits.skips_faulty_accounts) {
                list.left_out.push_back(std::move(fault));
            } else {
                reader.report("name", std::move(fault), "names and keys that no other account has");
            }
        }
    }
    return list;
}

} // namespace monsoonlift::configuration::internal
