#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace monsoonlift::transport::internal {

/// Longer frames are neither sent nor accepted.
constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

/// Size of the length prefix before each frame: four bytes in big-endian order.
constexpr std::size_t prefix_bytes = 4;

/// Returns the frame with its length prefix.
[[nodiscard]] std::string with_prefix(std::string_view frame);

/// Writes the length prefix of a frame at the start of `prefixed`, whose other bytes are the frame.
void set_prefix(std::string& prefixed);

/// Splits the byte stream of one connection into frames.
class frame_splitter {
public:
    frame_splitter();

    /// Returns the buffer space for the next bytes; never empty.
    [[nodiscard]] std::span<char> space();

    /// Records that `bytes` bytes were written into space().
    void filled(std::size_t bytes);

    /// Returns the next complete frame, valid until space() is called; nothing if the frame is incomplete or
    /// too long.
    [[nodiscard]] std::optional<std::string_view> next();

    /// Returns whether next() met a length prefix beyond max_frame_bytes; no further frame is returned then.
    [[nodiscard]] bool is_over_long() const { return m_over_long; }

private:
    [[nodiscard]] std::size_t buffered_bytes() const { return m_end - m_begin; }
    [[nodiscard]] std::optional<std::size_t> announced_length() const;

    std::string m_buffer;
    std::size_t m_begin = 0; ///< Start of the bytes that next() has not returned.
    std::size_t m_end = 0;
    bool m_over_long = false;
};

} // namespace monsoonlift::transport::internal
