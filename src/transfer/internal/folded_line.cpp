#include "transfer/folded_line.h"

namespace monsoonlift::transfer {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

} // namespace

bool has_folded_line(std::string_view bytes) {
    if (bytes.starts_with(line_end)) {
        return false;
    }
    const auto head = bytes.substr(0, bytes.find(head_end));
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

} // namespace monsoonlift::transfer
