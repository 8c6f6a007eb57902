/// The client account in whose name a call is made.
#pragma once

#include "configuration/types/document.h"
#include "entry/request_parsing.h"
#include "entry/types/problem.h"

#include <optional>
#include <string_view>

namespace monsoonlift::entry {

/// Sets the account that holds `key` and, if the account has a class, the call's rank. Returns the problem if
/// the call needs a key and no account of the configuration holds this one. `key` is as key_of() returns it.
[[nodiscard]] std::optional<problem> identify_account(parsed_call& call, std::optional<std::string_view> key,
                                                      const configuration::document& configuration);

/// Makes the problem for a call that names a running request as its parent, although no such request runs
/// here. Such calls carry no key, so that of an ended request must not be told that its key is unknown.
[[nodiscard]] problem parent_not_running();

/// Returns the key that the request carries: nothing without an Authorization field, an empty text if that is
/// repeated or malformed. A request with the field is a root call, since backend servers get no key that they
/// could pass on.
[[nodiscard]] std::optional<std::string_view> key_of(const request_fields& request);

/// Returns the key in an Authorization field of the form "Token KEY"; empty for any other text.
[[nodiscard]] std::string_view key_in(std::string_view authorization);

/// Returns the token with what this daemon knows of its run in place of what its text says; nothing if that
/// run isn't running here or has another root call or depth.
[[nodiscard]] std::optional<gate::context_token> verified(const gate::context_token& token,
                                                          const parsing_rules& rules);

} // namespace monsoonlift::entry
