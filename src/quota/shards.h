/// Shards of the accounts, and the daemons that may own them.
#pragma once

#include "core/types/call_ids.h"
#include "membership/types/member.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace monsoonlift::quota {

/// Returns the shard of an account; the same on every daemon.
[[nodiscard]] std::uint32_t shard_of(std::string_view account);

/// Returns the members that may contend for a shard: the first two of the live, not draining ones by
/// rendezvous hashing. The second one matters while the first can't reach the store.
[[nodiscard]] std::vector<core::endpoint_id> candidates_of(std::uint32_t shard,
                                                           const std::vector<membership::member>& members);

/// Whom an entry asks about a shard.
struct shard_route {
    std::optional<core::endpoint_id> holder; ///< As learned from answers.
    std::vector<core::endpoint_id> candidates;
    std::size_t turn = 0; ///< Which candidate is asked while no holder is known.
};

/// Returns the daemon to ask; nothing if no member is known.
[[nodiscard]] std::optional<core::endpoint_id> target_of(const shard_route& route);

/// Notes that `from` answered as the holder.
void note_holder(shard_route& route, const core::endpoint_id& from);

/// Notes that `from` doesn't hold the lease and names `holder` (empty address: none). Returns whether another
/// daemon should be asked at once.
bool note_not_holder(shard_route& route, const core::endpoint_id& from, const core::endpoint_id& holder);

/// Notes that `to` did not answer.
void note_silence(shard_route& route, const core::endpoint_id& to);

} // namespace monsoonlift::quota
