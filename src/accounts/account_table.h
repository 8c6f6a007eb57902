/// The client accounts of a configuration and the lookup of API keys.
#pragma once

#include "accounts/types/account.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace monsoonlift::accounts {

/// Hashes digests, which are uniformly distributed.
struct key_digest_hash {
    std::size_t operator()(const key_digest& digest) const noexcept;
};

/// Accounts with an index of their keys. Use add() to change it, because it maintains the index.
struct account_table {
    std::vector<account> accounts;
    std::unordered_map<key_digest, std::size_t, key_digest_hash> by_key; ///< Positions in `accounts`.
    std::unordered_map<std::string, std::size_t> by_name;                ///< Positions in `accounts`.
};

/// Adds an account without the keys that are empty or in the table already, and returns what was left out: an
/// account whose name is empty, taken or no value of a header field is not added at all. Empty if everything
/// was added.
[[nodiscard]] std::vector<std::string> add(account_table& table, account added);

/// Returns the account that holds the key, or nullptr. Keys are compared by their digests, so the time taken
/// says nothing about the keys in the table.
[[nodiscard]] const account* find_by_key(const account_table& table, std::string_view key);

/// Returns the account with that name, or nullptr.
[[nodiscard]] const account* find_by_name(const account_table& table, const std::string& name);

/// Returns the digest of a key.
[[nodiscard]] key_digest digest_of(std::string_view key);

/// Formats a digest as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string to_string(const key_digest& digest);

/// Parses 64 hexadecimal digits; nothing for any other text.
[[nodiscard]] std::optional<key_digest> parse_key_digest(std::string_view text);

} // namespace monsoonlift::accounts
