#include "settings/changed_settings.h"

namespace monsoonlift::settings {

changed_settings take_changes(const daemon_settings& before, const daemon_settings& read) {
    changed_settings changed;
    changed.in_force = before;
    changed.in_force.platform_address = read.platform_address;
    if (before.deployment && read.deployment) {
        auto& deployment = *changed.in_force.deployment;
        deployment.backend_address = read.deployment->backend_address;
        deployment.drain_bound = read.deployment->drain_bound;
        deployment.stop_bound = read.deployment->stop_bound;
    }
    changed.has_taken = changed.in_force != before;
    changed.waits_for_start = changed.in_force != read;
    return changed;
}

} // namespace monsoonlift::settings
