#include "execution/types/request_fingerprint.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include <xxhash.h>

namespace monsoonlift::execution {

namespace {

constexpr std::size_t body_prefix_bytes = 4096;

} // namespace

request_fingerprint make_fingerprint(const fingerprint_source& source) {
    const std::string_view body = source.body.substr(0, std::min(source.body.size(), body_prefix_bytes));
    const auto parts =
        std::to_array<std::string_view>({source.service, source.method, source.target, source.caller, body});
    std::uint64_t digest = 0;
    for (const std::string_view part : parts) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest + part.size());
    }
    return {digest};
}

} // namespace monsoonlift::execution
