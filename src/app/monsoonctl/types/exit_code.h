#pragma once

namespace monsoonlift::monsoonctl {

/// Exit codes of monsoonctl.
enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< The input is invalid, or what was asked for does not exist.
    usage = 2,       ///< The command line is wrong or a file can't be read.
    conflict = 3,    ///< Another change was accepted first.
    unavailable = 4, ///< Platform or daemon can't be reached; nothing was changed.
    unknown = 5      ///< The change may have been accepted; ask again.
};

} // namespace monsoonlift::monsoonctl
