/// The buffer of every reader of HTTP. A peer can send a head, the line that begins a chunk or a trailer
/// without end, and a parser holds all of it until it is whole.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace monsoonlift::core {

/// Largest part of a message that is held before it can be parsed.
inline constexpr std::size_t max_unparsed_bytes = 64 * 1024;

/// Holds at most max_unparsed_bytes; reading a message that needs more fails with
/// boost::beast::http::error::buffer_overflow.
struct http_read_buffer : boost::beast::flat_buffer {
    http_read_buffer() : boost::beast::flat_buffer(max_unparsed_bytes) {}
};

} // namespace monsoonlift::core
