#include "transport/internal/framing.h"

#include <algorithm>
#include <cstring>

namespace monsoonlift::transport::internal {

namespace {

constexpr std::size_t usual_buffer_bytes = 16 * 1024;

/// A buffer that grew beyond this size is shrunk once it is empty.
constexpr std::size_t max_idle_buffer_bytes = 256 * 1024;
constexpr unsigned bits_per_byte = 8;

} // namespace

std::string with_prefix(std::string_view frame) {
    std::string bytes(prefix_bytes, '\0');
    bytes.reserve(prefix_bytes + frame.size());
    bytes.append(frame);
    set_prefix(bytes);
    return bytes;
}

void set_prefix(std::string& prefixed) {
    auto length = prefixed.size() - prefix_bytes;
    for (std::size_t index = prefix_bytes; index > 0; --index) {
        prefixed[index - 1] = static_cast<char>(length & 0xffU);
        length >>= bits_per_byte;
    }
}

frame_splitter::frame_splitter() : m_buffer(usual_buffer_bytes, '\0') {}

std::span<char> frame_splitter::space() {
    if (buffered_bytes() == 0 && m_buffer.size() > max_idle_buffer_bytes) {
        m_buffer.assign(usual_buffer_bytes, '\0');
        m_buffer.shrink_to_fit();
    }
    if (m_begin > 0) {
        std::memmove(m_buffer.data(), m_buffer.data() + m_begin, buffered_bytes());
        m_end -= m_begin;
        m_begin = 0;
    }
    const auto length = announced_length();
    const std::size_t needed = length ? prefix_bytes + *length : prefix_bytes;
    if (needed > m_buffer.size()) {
        m_buffer.resize(std::min(needed, prefix_bytes + max_frame_bytes));
    }
    return std::span(m_buffer).subspan(m_end);
}

void frame_splitter::filled(std::size_t bytes) {
    m_end += bytes;
}

std::optional<std::string_view> frame_splitter::next() {
    const auto length = announced_length();
    m_over_long = length && *length > max_frame_bytes;
    if (!length || m_over_long || buffered_bytes() < prefix_bytes + *length) {
        return std::nullopt;
    }
    const auto frame = std::string_view(m_buffer).substr(m_begin + prefix_bytes, *length);
    m_begin += prefix_bytes + *length;
    return frame;
}

std::optional<std::size_t> frame_splitter::announced_length() const {
    if (buffered_bytes() < prefix_bytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t index = 0; index < prefix_bytes; ++index) {
        length = (length << bits_per_byte) | static_cast<unsigned char>(m_buffer[m_begin + index]);
    }
    return length;
}

} // namespace monsoonlift::transport::internal
