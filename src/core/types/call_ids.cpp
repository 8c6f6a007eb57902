#include "core/types/call_ids.h"

#include <boost/algorithm/hex.hpp>
#include <xxhash.h>

namespace monsoonlift::core {

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
