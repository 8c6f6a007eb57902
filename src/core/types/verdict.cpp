#include "core/types/verdict.h"

namespace monsoonlift::core {

std::string_view to_string(verdict value) {
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::ran:
        return "ran";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}

std::optional<verdict> parse_verdict(std::string_view text) {
    for (const auto value : {verdict::not_run, verdict::ran, verdict::may_have_run}) {
        if (to_string(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace monsoonlift::core
