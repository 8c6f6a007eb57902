/// The catalogue of events. docs/EVENTS.md lists the same events; a test compares the two.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace monsoonlift::logging {

/// Severity of an event.
enum class severity {
    info,
    notice, ///< Start, stop and the like: written at every log level.
    warning,
    error
};

/// Number of an event; it never changes its meaning and is never reused.
enum class event_id : std::uint16_t {
    // 1000: process and lifecycle
    process_started = 1000,
    process_stopping = 1001,
    process_stopped = 1002,
    settings_refused = 1003,
    drain_started = 1004,
    drain_finished = 1005,
    admin_not_accepted = 1006,
    drain_overdue = 1007,
    lines_left_out = 1008,
    heartbeat_refused = 1009,
    heartbeat_late = 1010,
    settings_read_again = 1011,
    backend_life_heard = 1012,
    backend_leaving = 1013,
    farewell_acknowledged = 1014,
    farewell_not_recorded = 1015,
    past_farewell_known = 1016,

    // 2000: entry
    callers_not_accepted = 2000,
    request_malformed = 2001,
    calls_shed = 2002,
    service_unreachable = 2003,
    call_may_have_run = 2004,
    retry_budget_spent = 2005,
    answer_cut_short = 2006,
    attempts_counted = 2007,
    call_accepted = 2010,
    attempt_sent = 2011,
    attempt_answered = 2012,
    attempt_failed = 2013,
    call_answered = 2014,
    call_refused = 2015,
    call_abandoned = 2016,
    attempt_redirected = 2017,

    // 3000: gate, execution, quarantine
    overload_started = 3000,
    overload_ended = 3001,
    threshold_moved = 3002,
    limit_changed = 3003,
    call_cancelled = 3004,
    attempt_refused = 3005,
    backend_refused_connection = 3006,
    backend_broke_off = 3007,
    gate_counted = 3008,
    attempt_started = 3010,
    attempt_not_admitted = 3011,
    attempt_ran = 3012,
    attempt_broken = 3013,
    key_admitted = 3014,
    key_not_admitted = 3015,
    homes_written = 3500,
    homes_malformed = 3501,
    backend_crashed = 3502,
    request_quarantined = 3503,
    gate_fenced = 3504,

    // 4000: membership
    membership_started = 4000,
    membership_joined = 4001,
    membership_waiting = 4002,
    member_alive = 4003,
    member_suspected = 4004,
    member_dead = 4005,
    member_left = 4006,
    address_taken = 4007,
    backend_announced = 4008,
    backend_silent = 4009,
    backend_withdrawn = 4010,
    datagram_refused = 4011,
    member_object_failed = 4012,
    datagram_of_other_fleet = 4013,

    // 5000: platform and configuration
    configuration_adopted = 5000,
    configuration_refused = 5001,
    configuration_pull_failed = 5002,
    configuration_missing = 5003,
    platform_unreachable = 5004,
    platform_reachable = 5005,
    platform_call_failed = 5006,

    // 6000: transport and transfer
    frame_corrupt = 6000,
    frame_of_other_incarnation = 6001,
    frame_of_unknown_attempt = 6002,
    frame_unsent = 6003,
    body_broken = 6004,
    peers_not_accepted = 6005,
    answer_crossed = 6006,
};

/// What the catalogue says of one event.
struct event_description {
    event_id id;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

/// Every event, in the order of numbers.
inline constexpr auto event_catalogue = std::to_array<event_description>({
    // 1000: process and lifecycle
    {event_id::process_started, severity::notice, "process_started", "The process is up and serves."},
    {event_id::process_stopping, severity::notice, "process_stopping", "A stop was asked for."},
    {event_id::process_stopped, severity::notice, "process_stopped", "The process ends."},
    {event_id::settings_refused, severity::error, "settings_refused", "The settings file has errors."},
    {event_id::drain_started, severity::notice, "drain_started",
     "No new work is taken; work in flight goes on."},
    {event_id::drain_finished, severity::notice, "drain_finished", "No work is left in flight."},
    {event_id::admin_not_accepted, severity::error, "admin_not_accepted",
     "Connections to the admin port can't be accepted, as when no file descriptor is left."},
    {event_id::drain_overdue, severity::warning, "drain_overdue",
     "Work is still in flight after the service's drain_time; the drain goes on."},
    {event_id::lines_left_out, severity::notice, "lines_left_out",
     "Lines of these events were not written in the last second or so, to bound the log; a count for each."},
    {event_id::heartbeat_refused, severity::warning, "heartbeat_refused",
     "A heartbeat on the platform can't be read and was not used."},
    {event_id::heartbeat_late, severity::notice, "heartbeat_late",
     "An announcement of the backend server was overtaken, by a later one or by a farewell, and was not "
     "used."},
    {event_id::settings_read_again, severity::notice, "settings_read_again",
     "SIGHUP: the settings file was read; what changed in it is in force from the next start."},
    {event_id::backend_life_heard, severity::notice, "backend_life_heard",
     "A heartbeat of a start of the backend server that did not serve was taken: which, what was known "
     "before, "
     "and whether it serves now."},
    {event_id::backend_leaving, severity::notice, "backend_leaving",
     "The backend server said that it leaves: how, which start of it, and what follows."},
    {event_id::farewell_acknowledged, severity::notice, "farewell_acknowledged",
     "The platform holds the backend server's farewell; the backend server was told that it is known."},
    {event_id::farewell_not_recorded, severity::warning, "farewell_not_recorded",
     "The platform does not hold the backend server's farewell yet; the backend server was told to repeat "
     "it."},
    {event_id::past_farewell_known, severity::notice, "past_farewell_known",
     "The platform told which farewell earlier processes of this daemon heard last."},

    // 2000: entry
    {event_id::callers_not_accepted, severity::error, "callers_not_accepted",
     "Connections of callers can't be accepted, as when no file descriptor is left."},
    {event_id::request_malformed, severity::info, "request_malformed",
     "A caller's request was refused as malformed or not known to the configuration."},
    {event_id::calls_shed, severity::warning, "calls_shed", "Calls of a class are refused under overload."},
    {event_id::service_unreachable, severity::error, "service_unreachable",
     "Calls are refused because no backend server of their service can be reached."},
    {event_id::call_may_have_run, severity::warning, "call_may_have_run",
     "A caller was told may_have_run: nobody can tell whether its request ran."},
    {event_id::retry_budget_spent, severity::warning, "retry_budget_spent",
     "A call that might have been repeated was not, for want of budget or time."},
    {event_id::answer_cut_short, severity::error, "answer_cut_short",
     "An answer broke off while it was passed on; the caller's connection was reset."},
    {event_id::attempts_counted, severity::warning, "attempts_counted",
     "How the attempts of about a second at one service ended, when any did not end whole."},
    {event_id::call_accepted, severity::info, "call_accepted",
     "A call was understood: its class, its time left and the attempts that it may spend."},
    {event_id::attempt_sent, severity::info, "attempt_sent",
     "A call was sent to a gate: what was known of it, how old that was, and why it was chosen."},
    {event_id::attempt_answered, severity::info, "attempt_answered",
     "The answer of an attempt was passed on whole."},
    {event_id::attempt_failed, severity::warning, "attempt_failed",
     "An attempt gave no whole answer: who said so, the verdict, and whether the call is tried again."},
    {event_id::call_answered, severity::info, "call_answered",
     "A caller got a backend server's answer whole."},
    {event_id::call_refused, severity::warning, "call_refused",
     "A caller got a problem document: the reason, the verdict, the attempts and the time spent."},
    {event_id::call_abandoned, severity::info, "call_abandoned",
     "A caller went away before it had its answer."},
    {event_id::attempt_redirected, severity::info, "attempt_redirected",
     "The gate asked is not the home of the key, or does not know it; the call goes on to look for it."},

    // 3000: gate, execution, quarantine
    {event_id::overload_started, severity::warning, "overload_started",
     "The threshold of this gate began to refuse calls."},
    {event_id::overload_ended, severity::info, "overload_ended",
     "The threshold has admitted every call for a while."},
    {event_id::threshold_moved, severity::info, "threshold_moved",
     "Under overload, the threshold reached another class."},
    {event_id::limit_changed, severity::info, "limit_changed",
     "The number of requests that may run at once has at least doubled or halved."},
    {event_id::call_cancelled, severity::info, "call_cancelled",
     "A call was given up by its entry, whose caller went away or whose deadline passed."},
    {event_id::attempt_refused, severity::warning, "attempt_refused",
     "A late or second copy of an attempt was refused."},
    {event_id::backend_refused_connection, severity::error, "backend_refused_connection",
     "The local backend server refuses connections."},
    {event_id::backend_broke_off, severity::error, "backend_broke_off",
     "The local backend server closed a connection without a whole answer."},
    {event_id::gate_counted, severity::warning, "gate_counted",
     "What became of the requests of about a second at this gate, when any was refused."},
    {event_id::attempt_started, severity::info, "attempt_started",
     "An attempt got a slot: how long it waited and how many run of how many that may."},
    {event_id::attempt_not_admitted, severity::warning, "attempt_not_admitted",
     "An attempt never got a slot: the reason and the load that decided it."},
    {event_id::attempt_ran, severity::info, "attempt_ran",
     "The local backend server answered an attempt whole."},
    {event_id::attempt_broken, severity::warning, "attempt_broken",
     "An attempt that had a slot gave no whole answer: the reason and whether it may have run."},
    {event_id::key_admitted, severity::info, "key_admitted",
     "The record of a non-idempotent request was opened, or its kept answer is given again."},
    {event_id::key_not_admitted, severity::warning, "key_not_admitted",
     "The record of a non-idempotent request does not allow the attempt: the reason and the verdict."},
    {event_id::homes_written, severity::info, "homes_written",
     "This gate changed the table of homes of its service."},
    {event_id::homes_malformed, severity::error, "homes_malformed",
     "The table of homes in the platform is malformed; plain keys are refused until it is mended."},
    {event_id::backend_crashed, severity::error, "backend_crashed",
     "The local backend server died with requests in flight; they are suspect now."},
    {event_id::request_quarantined, severity::error, "request_quarantined",
     "A request was in flight at two crashes and is held everywhere."},
    {event_id::gate_fenced, severity::error, "gate_fenced",
     "An operator asserted that this VM is destroyed while its daemon runs; it gives up its plain keys."},

    // 4000: membership
    {event_id::membership_started, severity::info, "membership_started", "The membership socket is bound."},
    {event_id::membership_joined, severity::info, "membership_joined",
     "The member table has been fetched from a peer, or there is no other member."},
    {event_id::membership_waiting, severity::warning, "membership_waiting",
     "No peer has answered yet: neither seed_peers nor the platform gave a live one. Joining is retried."},
    {event_id::member_alive, severity::info, "member_alive", "A member is up."},
    {event_id::member_suspected, severity::info, "member_suspected",
     "A member does not answer; it gets no new work unless it refutes the suspicion."},
    {event_id::member_dead, severity::warning, "member_dead",
     "A member has not refuted its suspicion in time."},
    {event_id::member_left, severity::info, "member_left", "A member has left after a planned stop."},
    {event_id::address_taken, severity::error, "address_taken",
     "A later process has the address of this one; this one stops serving."},
    {event_id::backend_announced, severity::notice, "backend_announced",
     "The local backend server announced itself."},
    {event_id::backend_silent, severity::warning, "backend_silent",
     "The local backend server has not announced itself for too long and counts as gone."},
    {event_id::backend_withdrawn, severity::notice, "backend_withdrawn",
     "The local backend server has left."},
    {event_id::datagram_refused, severity::warning, "datagram_refused",
     "A membership datagram was malformed or of another version."},
    {event_id::member_object_failed, severity::warning, "member_object_failed",
     "The member object could not be written; it is retried."},
    {event_id::datagram_of_other_fleet, severity::warning, "datagram_of_other_fleet",
     "A daemon of another fleet sent a membership datagram; it was not listened to."},

    // 5000: platform and configuration
    {event_id::configuration_adopted, severity::info, "configuration_adopted",
     "A higher revision of the configuration is in force."},
    {event_id::configuration_refused, severity::error, "configuration_refused",
     "An offered revision has a wrong digest or errors; the one in force stays."},
    {event_id::configuration_pull_failed, severity::warning, "configuration_pull_failed",
     "A peer did not give the higher revision that it has."},
    {event_id::configuration_missing, severity::warning, "configuration_missing",
     "No configuration is known yet; calls are refused until one is."},
    {event_id::platform_unreachable, severity::warning, "platform_unreachable",
     "Calls to the platform fail; none is sent for a while."},
    {event_id::platform_reachable, severity::info, "platform_reachable", "The platform answers again."},
    {event_id::platform_call_failed, severity::notice, "platform_call_failed",
     "The platform did not tell of the configuration; it is asked for the whole again."},

    // 6000: transport and transfer
    {event_id::frame_corrupt, severity::warning, "frame_corrupt",
     "A frame could not be decoded and was dropped."},
    {event_id::frame_of_other_incarnation, severity::warning, "frame_of_other_incarnation",
     "A frame meant for another life of this address was dropped."},
    {event_id::frame_of_unknown_attempt, severity::info, "frame_of_unknown_attempt",
     "A late, doubled or crossed frame was dropped."},
    {event_id::frame_unsent, severity::warning, "frame_unsent", "A frame could not be sent in time."},
    {event_id::body_broken, severity::warning, "body_broken",
     "A body was cut short, out of order or of another digest."},
    {event_id::peers_not_accepted, severity::error, "peers_not_accepted",
     "Connections of other daemons can't be accepted, as when no file descriptor is left."},
    {event_id::answer_crossed, severity::warning, "answer_crossed",
     "The backend server sent an answer of another request; it was dropped."},
});

} // namespace monsoonlift::logging
