#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace monsoonlift::transport::internal {

/// A longer frame is neither sent nor taken.
constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

/// Each frame follows its length as four bytes, the highest first.
constexpr std::size_t prefix_bytes = 4;

/// The frame with its length before it.
[[nodiscard]] std::string with_prefix(std::string_view frame);

/// Cuts the bytes of one connection into frames.
class frame_splitter {
public:
    frame_splitter();

    /// Where the next bytes may be written; never empty.
    [[nodiscard]] std::span<char> space();

    /// That many bytes were written into space().
    void filled(std::size_t bytes);

    /// The next whole frame, valid until space() is called; nothing while it isn't whole or is too long.
    [[nodiscard]] std::optional<std::string_view> next();

    /// Whether a frame longer than allowed is announced; no frame follows.
    [[nodiscard]] bool is_over_long() const { return m_over_long; }

private:
    [[nodiscard]] std::size_t held() const { return m_end - m_begin; }
    [[nodiscard]] std::optional<std::size_t> announced() const;

    std::string m_buffer;
    std::size_t m_begin = 0; ///< Of what has not been handed out.
    std::size_t m_end = 0;
    bool m_over_long = false;
};

} // namespace monsoonlift::transport::internal
