/// Receiver's side of a body sent in chunks: checks their order, the credit and the final digest.
#pragma once

#include "transfer/body_digest.h"
#include "transport/types/frame.h"

#include <cstdint>
#include <string_view>

namespace monsoonlift::transfer {

/// Validates the chunks of one body and decides when to grant credit for more.
class body_receiver {
public:
    /// `window` is the number of chunks that may be in flight at once; at least 1 is used.
    explicit body_receiver(std::uint32_t window);

    /// Adds the body bytes that were sent with the head.
    void begin(std::string_view bytes);

    /// Returns the credit to send before the first chunk.
    [[nodiscard]] std::uint32_t first_credit();

    /// Checks the next chunk; false if it is out of order, empty, larger than 1 MiB or beyond the credit.
    [[nodiscard]] bool accept(const transport::body_chunk& chunk);

    /// Handles that a chunk was passed on; returns the credit to send now, zero until half the window is
    /// used.
    [[nodiscard]] std::uint32_t consumed();

    /// Number of bytes accepted so far.
    [[nodiscard]] std::uint64_t length() const { return m_digest.length(); }

    /// Whether the bytes accepted so far are the complete and unchanged body.
    [[nodiscard]] bool is_complete(const transport::body_total& total) const;

private:
    body_digest m_digest;
    std::uint32_t m_window;
    std::uint32_t m_allowed = 0;  ///< Chunks that the sender may still send.
    std::uint32_t m_consumed = 0; ///< Chunks passed on since the last credit.
};

} // namespace monsoonlift::transfer
