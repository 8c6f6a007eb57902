#pragma once

#include "accounts/account_table.h"
#include "configuration/limits.h"
#include "settings/yaml_reader.h"

#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::configuration::internal {

/// The client accounts of a document.
struct account_list {
    std::optional<accounts::account_table> table; ///< Empty if the document doesn't list accounts.
    std::vector<std::string> left_out;            ///< Accounts and keys that the table can't hold.
};

/// Reads the client accounts. What the table can't hold is an error in a document that is submitted, and left
/// out of one that was accepted elsewhere, so that the other accounts of that document work.
[[nodiscard]] account_list read_accounts(settings::yaml_reader& root, const std::vector<std::string>& classes,
                                         const document_limits& limits);

/// Replaces the values found in errors about "key_digests", which may be API keys: errors are printed and
/// logged.
void hide_keys(std::vector<settings::settings_error>& errors);

} // namespace monsoonlift::configuration::internal
