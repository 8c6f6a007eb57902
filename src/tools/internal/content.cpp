#include "tools/content.h"

#include <algorithm>
#include <cstddef>
#include <cstring>

#include <xxhash.h>

namespace monsoonlift::tools {
namespace {

constexpr std::uint64_t word_bytes = sizeof(std::uint64_t);

/// Returns the output of the splitmix64 generator at position `index`.
std::uint64_t word_at(std::uint64_t seed, std::uint64_t index) {
    std::uint64_t value = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

std::uint64_t content_seed(std::string_view token) {
    return XXH64(token.data(), token.size(), 0);
}

void fill_content(std::uint64_t seed, std::uint64_t offset, std::span<char> out) {
    while (!out.empty()) {
        const std::uint64_t word = word_at(seed, offset / word_bytes);
        const std::size_t skipped = offset % word_bytes;
        const std::size_t count = std::min<std::size_t>(word_bytes - skipped, out.size());
        std::memcpy(out.data(), reinterpret_cast<const char*>(&word) + skipped, count);
        offset += count;
        out = out.subspan(count);
    }
}

std::string make_content(std::uint64_t seed, std::uint64_t length) {
    std::string content(length, '\0');
    fill_content(seed, 0, content);
    return content;
}

} // namespace monsoonlift::tools
