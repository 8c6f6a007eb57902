#include "core/types/call_ids.h"

#include <boost/algorithm/hex.hpp>
#include <boost/container_hash/hash.hpp>
#include <xxhash.h>

namespace monsoonlift::core {

namespace {

/// Number of low bits of an incarnation that are random. The bits above hold the start time in milliseconds
/// since the Unix epoch, which fits until the year 2109.
constexpr unsigned random_bits = 21;

} // namespace

incarnation make_incarnation(wall_time started, std::uint64_t random, incarnation predecessor) {
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(started.time_since_epoch());
    const std::uint64_t random_mask = (std::uint64_t{1} << random_bits) - 1;
    const std::uint64_t by_time =
        static_cast<std::uint64_t>(since_epoch.count()) << random_bits | (random & random_mask);
    return {predecessor.value < by_time ? by_time : predecessor.value + 1};
}

std::size_t attempt_hash::operator()(const attempt_id& id) const noexcept {
    std::size_t hash = 0;
    boost::hash_combine(hash, id.origin.value);
    boost::hash_combine(hash, id.call);
    boost::hash_combine(hash, id.attempt);
    return hash;
}

std::string to_string(const attempt_id& id) {
    return std::to_string(id.origin.value) + "/" + std::to_string(id.call) + "/" + std::to_string(id.attempt);
}

std::string to_string(const root_id& id) {
    std::string text;
    boost::algorithm::hex_lower(id.bytes.begin(), id.bytes.end(), std::back_inserter(text));
    return text;
}

std::optional<root_id> parse_root_id(std::string_view text) {
    root_id id;
    if (text.size() != id.bytes.size() * 2) {
        return std::nullopt;
    }
    try {
        boost::algorithm::unhex(text.begin(), text.end(), id.bytes.begin());
    } catch (const boost::algorithm::hex_decode_error&) {
        return std::nullopt;
    }
    return id;
}

std::uint32_t bucket_of(const root_id& id, std::uint32_t buckets) {
    if (buckets == 0) {
        return 0;
    }
    const XXH64_hash_t hash = XXH3_64bits(id.bytes.data(), id.bytes.size());
    return static_cast<std::uint32_t>(hash % buckets);
}

} // namespace monsoonlift::core
