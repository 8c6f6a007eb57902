/// Decisions of a configuration_follower, as functions of its state.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/types/follower_state.h"
#include "core/clock.h"
#include "membership/member_directory.h"

namespace monsoonlift::configuration {

/// Returns parameters with which a change is in force within `bound`, even if a watch stops being answered
/// just before the change.
[[nodiscard]] follower_rule follower_rule_within(std::chrono::milliseconds bound);

/// Whether the daemon at `address` is one of the `watchers` daemons of its data centre that watch the
/// platform: the live, non-draining members whose addresses have the highest hash values. All daemons with
/// the same member list agree on them.
[[nodiscard]] bool is_watcher(const std::string& address, const std::string& data_centre,
                              const std::vector<membership::member>& members, std::size_t watchers);

/// Returns the daemons of all data centres for which is_watcher() holds, the best of each data centre first.
[[nodiscard]] std::vector<membership::member> find_watchers(const std::vector<membership::member>& members,
                                                            std::size_t watchers);

/// Records that a peer has a revision; ignored unless it is higher than `in_force`.
void note_offer(follower_state& state, const peer_offer& offer, std::uint64_t in_force,
                const follower_rule& rule, store::random_engine& random, core::steady_time now);

/// Removes and returns the offer to pull now, the one with the highest revision; nothing if a pull is
/// running, is not due yet or no offer is left.
[[nodiscard]] std::optional<peer_offer> next_pull(follower_state& state, std::uint64_t in_force,
                                                  core::steady_time now);

/// Returns the call to make to the platform now.
[[nodiscard]] store_call next_store_call(const follower_state& state, std::uint64_t in_force,
                                         const follower_rule& rule, core::steady_time now);

/// Records a successful list, which reflects the platform's revision `cursor`.
void record_list(follower_state& state, std::uint64_t cursor, std::uint64_t in_force,
                 const follower_rule& rule, store::random_engine& random, core::steady_time now);

/// Records a successful watch, which covers changes up to the platform's revision `cursor`.
void record_watch(follower_state& state, std::uint64_t cursor);

/// Records that a pull from a peer failed; the next one starts after a random delay of at most `pull_jitter`.
void record_pull_failure(follower_state& state, const follower_rule& rule, store::random_engine& random,
                         core::steady_time now);

/// Records that the platform's store was restored from a copy: its revisions are assigned again, so the
/// cursor is void and the next call of a watcher is a list.
void record_restore(follower_state& state);

/// Records that a call to the platform failed: the next one waits for the back-off and is a list.
void record_store_failure(follower_state& state, const follower_rule& rule, store::random_engine& random,
                          core::steady_time now);

} // namespace monsoonlift::configuration
