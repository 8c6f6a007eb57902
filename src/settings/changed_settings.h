/// What a running daemon does with settings that it has read again.
#pragma once

#include "settings/daemon_settings.h"

namespace monsoonlift::settings {

/// Outcome of reading the settings again.
struct changed_settings {
    daemon_settings in_force;     ///< Those before, with the changes that a running daemon can take.
    bool has_taken = false;       ///< Whether `in_force` differs from the settings before.
    bool waits_for_start = false; ///< Whether there are changes that take effect at the next start only.
};

/// A running daemon takes the address of the platform, that of the backend server and the bounds of its
/// leaving and of a stop; all else waits for the next start.
[[nodiscard]] changed_settings take_changes(const daemon_settings& before, const daemon_settings& read);

} // namespace monsoonlift::settings
