/// The lease of one shard: when to read, renew, take over or release it. Free functions over a plain struct;
/// times are those of core::clock::boot_now(), which go on while the VM is suspended.
///
/// Two daemons never hold valid leases at once. A holder counts lease_lifetime from the moment it sent its
/// last successful renewal. Another daemon replaces the object only after it has seen it unchanged, or
/// missing, for lease_lifetime; as the renewal took effect before it was first seen, it has expired by then.
/// The same holds for an object that names the daemon itself, as after a restore of the store from a copy
/// another daemon may have held the lease since. Only a holder whose lease is still valid writes at once,
/// over whatever it finds.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "store/object_api.h"

#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::quota {

/// Content of the lease object.
struct lease_record {
    core::endpoint_id holder;
    std::uint64_t sequence = 0; ///< Raised with every write.
    bool released = false;      ///< The holder grants nothing any more.

    bool operator==(const lease_record&) const = default;
};

[[nodiscard]] std::string to_text(const lease_record& record);

/// Returns nothing if the text is malformed.
[[nodiscard]] std::optional<lease_record> parse_lease(std::string_view text);

/// What the store holds, as read last.
struct lease_sighting {
    std::uint64_t version = 0; ///< 0 if the object is missing.
    std::optional<lease_record> record;
    core::boot_time since; ///< When it was first seen like this.
    core::boot_time last;  ///< When it was read last.
    /// The holder was seen holding the lease shortly before it released it, so nobody can have held it since.
    bool free_at_once = false;
};

/// How much a daemon wants the lease.
enum class lease_interest : std::uint8_t {
    none,
    second, ///< Takes over if the first candidate doesn't.
    first,
    leaving ///< Releases the lease if it holds it.
};

/// State of the lease at one daemon.
struct lease_state {
    core::endpoint_id self;
    core::boot_time valid_until = core::boot_time::min(); ///< Of a lease held here.
    std::uint64_t tenure = 0;   ///< Raised when the lease is gained, also after a gap without it.
    std::uint64_t sequence = 0; ///< Of the last write made here.
    std::optional<lease_sighting> seen;
    core::boot_time last_begun = core::boot_time::min(); ///< When the last call to the store began.
    bool reads_next = true; ///< The object's version is not known, for example after a failed write.
    bool is_busy = false;   ///< A call to the store is in progress.
    bool released = false;  ///< Released in a planned stop; never held again.
};

/// A call to the store.
struct lease_step {
    enum class kind : std::uint8_t { none, read, write } what = kind::none;
    std::uint64_t expected_version = 0; ///< Of a write.
    lease_record record;                ///< Of a write.
};

/// Whether this daemon may grant tokens.
[[nodiscard]] bool holds(const lease_state& lease, core::boot_time now);

/// Chooses the next call to the store, and notes that it begins now.
[[nodiscard]] lease_step next_step(lease_state& lease, lease_interest interest, core::boot_time now);

/// Notes the result of a read; no object means that it is missing.
void note_read(lease_state& lease, const std::optional<store::object>& found, core::boot_time now);

/// Notes that a read failed.
void note_read_failed(lease_state& lease);

/// Notes that the write of `step`, sent at `sent`, succeeded.
void note_written(lease_state& lease, const lease_step& step, std::uint64_t version, core::boot_time sent,
                  core::boot_time now);

/// Notes that a write failed or that its effect is unknown.
void note_write_failed(lease_state& lease);

/// Notes that the store may have been restored from a copy: what was seen before proves nothing.
void forget_sighting(lease_state& lease);

/// Returns the holder as far as is known here; nothing if nobody seems to hold the lease.
[[nodiscard]] std::optional<core::endpoint_id> known_holder(const lease_state& lease, core::boot_time now);

} // namespace monsoonlift::quota
