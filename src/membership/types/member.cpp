#include "membership/types/member.h"

#include <tuple>

namespace monsoonlift::membership {

bool supersedes(const member& candidate, const member& known) {
    return std::tie(candidate.id.life, candidate.update_number, candidate.status) >
           std::tie(known.id.life, known.update_number, known.status);
}

bool is_predecessor(const member& later, const std::string& own_name) {
    // NOTE: records of members that are not alive may come without their name.
    return later.name == own_name || (later.name.empty() && later.status != member_status::alive);
}

bool is_present(const member& candidate) {
    return candidate.status == member_status::alive || candidate.status == member_status::suspect;
}

} // namespace monsoonlift::membership
