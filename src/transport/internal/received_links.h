/// Which frames of each peer's links have arrived, so that a frame written to two connections is handled
/// once.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace monsoonlift::transport::internal {

/// Progress of one link of a peer across its connections. Safe to call from any thread.
class received_link {
public:
    /// Calls `handle` and returns its result if the frame numbered `sequence` has not arrived before; returns
    /// true otherwise. Frames of the link are handled one at a time.
    template <class Handler> bool handle_once(std::uint64_t sequence, const Handler& handle) {
        const std::scoped_lock lock(m_mutex);
        if (!note_arrival(sequence)) {
            ++m_repeated;
            return true;
        }
        return handle();
    }

    /// Number of frames that arrived again.
    [[nodiscard]] std::uint64_t repeated() const {
        const std::scoped_lock lock(m_mutex);
        return m_repeated;
    }

private:
    /// Returns whether the frame has not arrived before.
    [[nodiscard]] bool note_arrival(std::uint64_t sequence);

    mutable std::mutex m_mutex;
    std::uint64_t m_next = 1; ///< No frame of this number or a later one has arrived.
    /// Numbers below `m_next` that have not arrived, as ranges from the first to the last. They may be unread
    /// on an earlier connection.
    std::map<std::uint64_t, std::uint64_t> m_missing;
    std::uint64_t m_repeated = 0;
};

/// The position of an incoming connection in its link; default before the connection's opening frame.
struct link_position {
    std::shared_ptr<received_link> link;
    std::uint64_t sequence = 0; ///< Number of the next frame.
};

/// The links of all peers. Safe to call from any thread.
class received_links {
public:
    /// Returns the link numbered `link` of that incarnation of a peer. Links that no connection has used for
    /// some time are forgotten.
    [[nodiscard]] std::shared_ptr<received_link> open(core::incarnation sender, std::uint64_t link,
                                                      core::steady_time now);

private:
    struct known_link {
        std::shared_ptr<received_link> progress;
        bool was_unused = false; ///< No connection used it at the last sweep.
    };

    void forget_unused();

    std::mutex m_mutex;
    core::steady_time m_next_sweep;
    std::map<std::pair<core::incarnation, std::uint64_t>, known_link> m_links;
};

} // namespace monsoonlift::transport::internal
