/// The receiver's side of a body in chunks: order, credit and the digest at its end.
#pragma once

#include "transfer/body_digest.h"
#include "transport/types/frame.h"

#include <cstdint>
#include <string_view>

namespace monsoonlift::transfer {

/// Checks one body and decides when to allow more of it.
class body_receiver {
public:
    /// `window` is how many chunks may be on their way at once.
    explicit body_receiver(std::uint32_t window);

    /// The bytes that came with the head.
    void begin(std::string_view bytes);

    /// Credit to send before the first chunk.
    [[nodiscard]] std::uint32_t first_credit();

    /// Checks the next chunk; false if it is out of order, too large or beyond the credit.
    [[nodiscard]] bool accept(const transport::body_chunk& chunk);

    /// A chunk was passed on; the credit to send now, often zero.
    [[nodiscard]] std::uint32_t consumed();

    /// Bytes accepted so far.
    [[nodiscard]] std::uint64_t length() const { return m_digest.length(); }

    /// Whether the body is whole and unchanged.
    [[nodiscard]] bool is_complete(const transport::body_total& total) const;

private:
    body_digest m_digest;
    std::uint32_t m_window;
    std::uint32_t m_allowed = 0;  ///< Chunks that may still come.
    std::uint32_t m_consumed = 0; ///< Chunks passed on since the last credit.
};

} // namespace monsoonlift::transfer
