#include "accounts/account_table.h"

#include <openssl/evp.h>

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <cstring>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace monsoonlift::accounts {

namespace {

/// Whether a name can be sent as the value of a header field: no control characters, which would end the
/// field or the head, and no spaces at the ends, which a receiver would remove.
bool is_field_value(const std::string& name) {
    const auto is_control = [](unsigned char byte) {
        return byte < ' ' || byte == 0x7f;
    };
    return name.front() != ' ' && name.back() != ' ' && std::none_of(name.begin(), name.end(), is_control);
}

/// Removes the keys that the account must not hold, and says for each why.
std::vector<std::string> remove_unusable_keys(account_table& table, account& added, std::size_t position) {
    static const auto empty_key = digest_of({});
    std::vector<std::string> left_out;
    std::erase_if(added.keys, [&](const key_digest& key) {
        if (key == empty_key) {
            left_out.push_back("a key of account \"" + added.name + "\" that is empty");
            return true;
        }
        const auto [entry, is_new] = table.by_key.emplace(key, position);
        if (!is_new) {
            const auto& holder = entry->second == position ? added.name : table.accounts[entry->second].name;
            left_out.push_back("a key of account \"" + added.name + "\" that \"" + holder +
                               "\" holds already");
        }
        return !is_new;
    });
    return left_out;
}

} // namespace

std::size_t key_digest_hash::operator()(const key_digest& digest) const noexcept {
    std::size_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
}

std::vector<std::string> add(account_table& table, account added) {
    if (added.name.empty()) {
        return {"an account without a name"};
    }
    if (!is_field_value(added.name)) {
        return {"an account named \"" + added.name + "\", which no header field can carry"};
    }
    const auto position = table.accounts.size();
    if (!table.by_name.emplace(added.name, position).second) {
        return {"a second account named \"" + added.name + "\""};
    }
    auto left_out = remove_unusable_keys(table, added, position);
    table.accounts.push_back(std::move(added));
    return left_out;
}

const account* find_by_key(const account_table& table, std::string_view key) {
    const auto found = table.by_key.find(digest_of(key));
    return found == table.by_key.end() ? nullptr : &table.accounts[found->second];
}

const account* find_by_name(const account_table& table, const std::string& name) {
    const auto found = table.by_name.find(name);
    return found == table.by_name.end() ? nullptr : &table.accounts[found->second];
}

key_digest digest_of(std::string_view key) {
    key_digest digest{};
    if (EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 is not available");
    }
    return digest;
}

std::string to_string(const key_digest& digest) {
    std::string text;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(text));
    return text;
}

std::optional<key_digest> parse_key_digest(std::string_view text) {
    key_digest digest{};
    if (text.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    try {
        boost::algorithm::unhex(text.begin(), text.end(), digest.begin());
    } catch (const boost::algorithm::hex_decode_error&) {
        return std::nullopt;
    }
    return digest;
}

} // namespace monsoonlift::accounts
