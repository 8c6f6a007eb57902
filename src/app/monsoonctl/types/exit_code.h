#pragma once

namespace monsoonlift::monsoonctl {

/// Exit codes of monsoonctl.
enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< The input is invalid, or the requested object does not exist.
    usage = 2,       ///< The command line is wrong or a file can't be read.
    conflict = 3,    ///< Another change was accepted before this one.
    unavailable = 4, ///< The platform or daemon can't be reached; nothing was changed.
    unknown = 5      ///< The change may have been accepted; query it with --submission and --base.
};

} // namespace monsoonlift::monsoonctl
