/// Decisions of a daemon that follows the configuration, as functions over its state.
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

/// A rule by which a change is in force within `bound`, also if a watch falls silent just before the change.
[[nodiscard]] follower_rule rule_within(std::chrono::milliseconds bound);

/// Whether the daemon at `address` is among the watchers of its data centre: those with the highest scores
/// of a hash over the live members, so that all daemons with the same list agree.
[[nodiscard]] bool is_watcher(const std::string& address, const std::string& data_centre,
                              const std::vector<membership::member>& members, std::size_t watchers);

/// Notes that a peer has a revision; nothing happens unless it is higher than the one in force.
void note_offer(follower_state& state, const peer_offer& offer, std::uint64_t in_force,
                const follower_rule& rule, store::random_engine& random, core::steady_time now);

/// The peer to pull from now; taken from the offers.
[[nodiscard]] std::optional<peer_offer> next_pull(follower_state& state, std::uint64_t in_force,
                                                  core::steady_time now);

/// The call to make to the platform now.
[[nodiscard]] store_call next_store_call(const follower_state& state, std::uint64_t in_force,
                                         const follower_rule& rule, core::steady_time now);

/// A list answered at the platform's revision `cursor`.
void record_list(follower_state& state, std::uint64_t cursor, std::uint64_t in_force,
                 const follower_rule& rule, store::random_engine& random, core::steady_time now);

/// A watch answered at the platform's revision `cursor`.
void record_watch(follower_state& state, std::uint64_t cursor);

/// A pull from a peer failed; the next one waits a little.
void record_pull_failure(follower_state& state, const follower_rule& rule, store::random_engine& random,
                         core::steady_time now);

/// A call to the platform failed.
void record_store_failure(follower_state& state, const follower_rule& rule, store::random_engine& random,
                          core::steady_time now);

} // namespace monsoonlift::configuration
