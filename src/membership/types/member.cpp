#include "membership/types/member.h"

#include <tuple>

namespace monsoonlift::membership {

bool supersedes(const member& candidate, const member& known) {
    return std::tie(candidate.id.life, candidate.update_number, candidate.status) >
           std::tie(known.id.life, known.update_number, known.status);
}

bool is_predecessor(const member& later, const std::string& own_name) {
    // NOTE: the record of a dead member may come without its name, and a dead process can't be another one.
    return later.name == own_name || (later.name.empty() && !is_present(later));
}

bool is_present(const member& candidate) {
    return candidate.status == member_status::alive || candidate.status == member_status::suspect;
}

} // namespace monsoonlift::membership
