#include "app/monsoonctl/refusal_cause.h"

#include <algorithm>
#include <array>
#include <utility>

namespace monsoonlift::monsoonctl {

namespace {

constexpr std::array<std::pair<std::string_view, std::string_view>, 7> causes{{
    {"missing-key",
     "the request carried no Authorization field, and its route is not public in that revision; a "
     "caller sends \"Authorization: Token KEY\""},
    {"unknown-key",
     "no account held the key in that revision, or the field was malformed or repeated; compare the "
     "revision with `monsoonctl history`: the key may have been removed, or not yet be in force"},
    {"parent-not-running", "a nested call came after the request that makes it had ended here, or from "
                           "another VM, or before a restart "
                           "of this daemon; look for the end of that request in the log of the same daemon"},
    {"quota-exceeded",
     "the account used its limit over all daemons; compare `monsoonctl accounts` with its demand, "
     "and see the account in the line call_accepted"},
    {"quota-unavailable",
     "this daemon held no tokens of the account, and the owner of its quota did not answer in "
     "time; the limit itself may not be used up"},
    {"configuration-outdated",
     "this daemon could not make sure in time that no newer configuration had been accepted, so it served no "
     "call "
     "that needs a key; look for a partition from the store and from peers since the time in the detail"},
    {"shed",
     "overload: the threshold admitted other classes or root calls before this call; `level` tells the "
     "threshold, and `class` and `account` what the call was ordered by"},
}};

} // namespace

std::string_view cause_of(std::string_view problem_type) {
    const auto* found = std::find_if(causes.begin(), causes.end(),
                                     [&](const auto& each) { return each.first == problem_type; });
    return found == causes.end() ? std::string_view() : found->second;
}

} // namespace monsoonlift::monsoonctl
