/// The meaning of the problem types that concern client accounts, for operators.
#pragma once

#include <string_view>

namespace monsoonlift::monsoonctl {

/// Returns why a call gets a problem of this type and where to look next; empty for types whose detail says
/// it all.
[[nodiscard]] std::string_view cause_of(std::string_view problem_type);

} // namespace monsoonlift::monsoonctl
