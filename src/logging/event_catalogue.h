/// The catalogue of log events. docs/EVENTS.md lists the same events; a test compares the two.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace monsoonlift::logging {

/// Severity of an event.
enum class severity {
    info,
    notice, ///< Lifecycle events such as start and stop; written at every log level.
    warning,
    error
};

/// Number of an event; its meaning never changes and it is never reused.
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
    // 1017 was written when an internal error ended the process; none does any more.
    handler_failed = 1018,

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
    attempt_gate_asked = 2018,

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
    configuration_outdated = 5007,
    configuration_current = 5008,
    store_restored = 5009,
    earlier_revisions_unknown = 5010,
    earlier_revisions_assumed = 5011,

    // 6000: transport and transfer
    frame_corrupt = 6000,
    frame_of_other_incarnation = 6001,
    frame_of_unknown_attempt = 6002,
    frame_unsent = 6003,
    body_broken = 6004,
    peers_not_accepted = 6005,
    answer_crossed = 6006,
    peer_not_connected = 6007,
    frame_failed = 6008,

    // 7000: quotas of client accounts
    quota_lease_gained = 7000,
    quota_lease_lost = 7001,
    quota_refused = 7002,
    quota_unanswered = 7003,
};

/// Catalogue entry of one event.
struct event_description {
    event_id id;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

/// All events, ordered by number.
inline constexpr auto event_catalogue = std::to_array<event_description>({
    // 1000: process and lifecycle
    {event_id::process_started, severity::notice, "process_started",
     "The process has started and is serving."},
    {event_id::process_stopping, severity::notice, "process_stopping", "The process was asked to stop."},
    {event_id::process_stopped, severity::notice, "process_stopped", "The process ends."},
    {event_id::settings_refused, severity::error, "settings_refused", "The settings file has errors."},
    {event_id::drain_started, severity::notice, "drain_started",
     "A drain started: no new work is accepted; work in flight continues."},
    {event_id::drain_finished, severity::notice, "drain_finished",
     "The drain has finished: no work is left in flight."},
    {event_id::admin_not_accepted, severity::error, "admin_not_accepted",
     "Connections to the admin port can't be accepted, for example because no file descriptor is free."},
    {event_id::drain_overdue, severity::warning, "drain_overdue",
     "Work is still in flight after the service's drain_time; the drain continues."},
    {event_id::lines_left_out, severity::notice, "lines_left_out",
     "Log lines dropped in about the last second to limit the log's size: their number for each event."},
    {event_id::heartbeat_refused, severity::warning, "heartbeat_refused",
     "A heartbeat on the platform's protocol is malformed or not from this VM's backend server and was "
     "ignored."},
    {event_id::heartbeat_late, severity::notice, "heartbeat_late",
     "An announcement of the backend server was ignored because a later one or a deregistration arrived "
     "before it."},
    {event_id::settings_read_again, severity::notice, "settings_read_again",
     "The settings file was read again, after a SIGHUP or as it has changed: whether anything changed, the "
     "platform's "
     "address now in use, and whether a change waits for the next start."},
    {event_id::backend_life_heard, severity::notice, "backend_life_heard",
     "A heartbeat of a backend server incarnation that was not serving was accepted: the incarnation, those "
     "known before, and whether it serves now."},
    {event_id::backend_leaving, severity::notice, "backend_leaving",
     "The backend server reported that it is leaving: how, which incarnation of it, and the consequence."},
    {event_id::farewell_acknowledged, severity::notice, "farewell_acknowledged",
     "The backend server's deregistration is stored on the platform and was acknowledged."},
    {event_id::farewell_not_recorded, severity::warning, "farewell_not_recorded",
     "The backend server's deregistration is not stored on the platform yet; the backend server was asked "
     "to repeat it."},
    {event_id::past_farewell_known, severity::notice, "past_farewell_known",
     "The last deregistrations received by earlier processes of this daemon were read from the platform."},

    {event_id::handler_failed, severity::error, "handler_failed",
     "An internal error ended one piece of work: what it was, what the work was, and how many requests the "
     "process had "
     "at its gate and entry. The process goes on."},

    // 2000: entry
    {event_id::callers_not_accepted, severity::error, "callers_not_accepted",
     "Connections of callers can't be accepted, for example because no file descriptor is free."},
    {event_id::request_malformed, severity::info, "request_malformed",
     "A caller's request was refused because it is malformed or not defined in the configuration."},
    {event_id::calls_shed, severity::warning, "calls_shed",
     "Calls of a class are refused because of overload."},
    {event_id::service_unreachable, severity::error, "service_unreachable",
     "Calls are refused because no backend server of their service can be reached."},
    {event_id::call_may_have_run, severity::warning, "call_may_have_run",
     "A caller received the verdict may_have_run: it is unknown whether its request ran."},
    {event_id::retry_budget_spent, severity::warning, "retry_budget_spent",
     "A call that could have been retried was not, because the retry budget or the time was used up."},
    {event_id::answer_cut_short, severity::error, "answer_cut_short",
     "An answer was aborted while it was being forwarded; the caller's connection was reset."},
    {event_id::attempts_counted, severity::warning, "attempts_counted",
     "Outcomes of the attempts sent to one service in about one second, if any got no complete answer."},
    {event_id::call_accepted, severity::info, "call_accepted",
     "A call was accepted: its class, the time left and the attempts that it may use."},
    {event_id::attempt_sent, severity::info, "attempt_sent",
     "A call was sent to a gate: the load known of the gate, the age of that report and why it was chosen."},
    {event_id::attempt_answered, severity::info, "attempt_answered",
     "The complete answer to an attempt was forwarded."},
    {event_id::attempt_failed, severity::warning, "attempt_failed",
     "An attempt got no complete answer: which side reported it, the verdict and whether the call is "
     "retried."},
    {event_id::call_answered, severity::info, "call_answered",
     "A caller received a backend server's complete answer."},
    {event_id::call_refused, severity::warning, "call_refused",
     "A caller received a problem document: the reason, the verdict, the attempts and the time spent."},
    {event_id::call_abandoned, severity::info, "call_abandoned",
     "A caller disconnected before it received its answer."},
    {event_id::attempt_redirected, severity::info, "attempt_redirected",
     "The gate is not the home of the key or does not know the home; the call continues to look for it."},

    // 3000: gate, execution, quarantine
    {event_id::attempt_gate_asked, severity::info, "attempt_gate_asked",
     "Membership doubts the gate of an attempt that may be repeated: the gate was asked whether it has the "
     "attempt."},
    {event_id::overload_started, severity::warning, "overload_started",
     "The shedding threshold of this gate started to refuse calls."},
    {event_id::overload_ended, severity::info, "overload_ended",
     "The shedding threshold has admitted every call for some time."},
    {event_id::threshold_moved, severity::info, "threshold_moved",
     "During overload, the shedding threshold moved to another class."},
    {event_id::limit_changed, severity::info, "limit_changed",
     "The concurrency limit has at least doubled or halved."},
    {event_id::call_cancelled, severity::info, "call_cancelled",
     "A call was cancelled by its entry because the caller disconnected or the deadline passed."},
    {event_id::attempt_refused, severity::warning, "attempt_refused",
     "A late or duplicate copy of an attempt was refused."},
    {event_id::backend_refused_connection, severity::error, "backend_refused_connection",
     "The local backend server refuses connections."},
    {event_id::backend_broke_off, severity::error, "backend_broke_off",
     "The local backend server closed a connection before its answer was complete."},
    {event_id::gate_counted, severity::warning, "gate_counted",
     "Outcomes of the requests of about one second at this gate and how late its process ran, if any was "
     "refused "
     "or it was late."},
    {event_id::attempt_started, severity::info, "attempt_started",
     "An attempt got a slot: how long it waited, how many requests are running and how many may."},
    {event_id::attempt_not_admitted, severity::warning, "attempt_not_admitted",
     "An attempt did not get a slot: the reason and the load behind the decision."},
    {event_id::attempt_ran, severity::info, "attempt_ran",
     "The local backend server answered an attempt completely."},
    {event_id::attempt_broken, severity::warning, "attempt_broken",
     "An attempt that had a slot got no complete answer: the reason and whether it may have run."},
    {event_id::key_admitted, severity::info, "key_admitted",
     "The record of a non-idempotent request was opened, or its stored answer is replayed."},
    {event_id::key_not_admitted, severity::warning, "key_not_admitted",
     "The record of a non-idempotent request does not allow the attempt: the reason and the verdict."},
    {event_id::homes_written, severity::info, "homes_written",
     "This gate changed the table of homes of its service."},
    {event_id::homes_malformed, severity::error, "homes_malformed",
     "The table of homes on the platform is malformed; plain keys are refused until it is fixed."},
    {event_id::backend_crashed, severity::error, "backend_crashed",
     "The local backend server crashed with requests in flight; they are suspected of crashing it."},
    {event_id::request_quarantined, severity::error, "request_quarantined",
     "A request was in flight during two crashes and is quarantined at every gate."},
    {event_id::gate_fenced, severity::error, "gate_fenced",
     "An operator declared this VM destroyed although its daemon is running; the daemon gives up its plain "
     "keys."},

    // 4000: membership
    {event_id::membership_started, severity::info, "membership_started", "The membership socket is bound."},
    {event_id::membership_joined, severity::info, "membership_joined",
     "The member table was fetched from a peer, or there is no other member."},
    {event_id::membership_waiting, severity::warning, "membership_waiting",
     "No peer has answered yet: neither seed_peers nor the platform yielded a live one. Joining is retried."},
    {event_id::member_alive, severity::info, "member_alive", "A member is alive."},
    {event_id::member_suspected, severity::info, "member_suspected",
     "A member does not answer and is suspected; it gets no new work unless it refutes the suspicion."},
    {event_id::member_dead, severity::warning, "member_dead",
     "A member did not refute the suspicion in time and is considered dead."},
    {event_id::member_left, severity::info, "member_left", "A member left after a planned stop."},
    {event_id::address_taken, severity::error, "address_taken",
     "Peers know a later process at this process's address. If that was its own predecessor, it begins again "
     "with a "
     "later incarnation; otherwise it stops serving."},
    {event_id::backend_announced, severity::notice, "backend_announced",
     "The local backend server announced itself."},
    {event_id::backend_silent, severity::warning, "backend_silent",
     "The local backend server has sent no announcement for too long and is considered gone."},
    {event_id::backend_withdrawn, severity::notice, "backend_withdrawn",
     "The local backend server is no longer offered to other daemons."},
    {event_id::datagram_refused, severity::warning, "datagram_refused",
     "A membership datagram was malformed or of another version."},
    {event_id::member_object_failed, severity::warning, "member_object_failed",
     "The member object could not be written; the write is retried."},
    {event_id::datagram_of_other_fleet, severity::warning, "datagram_of_other_fleet",
     "A membership datagram of a daemon of another fleet was ignored."},

    // 5000: platform and configuration
    {event_id::configuration_adopted, severity::info, "configuration_adopted",
     "A higher revision of the configuration is in force."},
    {event_id::configuration_refused, severity::error, "configuration_refused",
     "A configuration was refused because it is malformed, has a wrong digest or has errors; the revision in "
     "force stays."},
    {event_id::configuration_pull_failed, severity::warning, "configuration_pull_failed",
     "A peer that reported a higher revision did not return one."},
    {event_id::configuration_missing, severity::warning, "configuration_missing",
     "No configuration is in force yet; calls are refused until there is one."},
    {event_id::platform_unreachable, severity::warning, "platform_unreachable",
     "Calls to the platform fail; no more are sent for some time."},
    {event_id::platform_reachable, severity::info, "platform_reachable", "The platform answers again."},
    {event_id::platform_call_failed, severity::notice, "platform_call_failed",
     "A list or watch of the configuration on the platform failed; a full list follows."},
    {event_id::configuration_outdated, severity::warning, "configuration_outdated",
     "Calls that need a key begin to be refused, as nothing proves that the configuration in force is "
     "recent: "
     "the age of the latest proof, the bound and the revision."},
    {event_id::configuration_current, severity::notice, "configuration_current",
     "The configuration in force is proven to be recent again, and calls that need a key are served: how "
     "many "
     "were refused, and for how long."},
    {event_id::store_restored, severity::warning, "store_restored",
     "The platform's store was restored from a copy: its era, the revision in force here, and the time "
     "within "
     "which this daemon checks its member object."},
    {event_id::earlier_revisions_unknown, severity::warning, "earlier_revisions_unknown",
     "The platform's store was restored while this daemon did not follow it, and calls that need a key wait "
     "for a daemon that knows what was accepted before: the store's era, the era up to which this daemon "
     "knows it, and the revision in force here."},
    {event_id::earlier_revisions_assumed, severity::warning, "earlier_revisions_assumed",
     "No daemon that knows what was accepted before the restore has answered, and reads of the store count "
     "again: the store's era and the revision in force here."},

    // 6000: transport and transfer
    {event_id::frame_corrupt, severity::warning, "frame_corrupt",
     "A frame could not be decoded and was dropped."},
    {event_id::frame_of_other_incarnation, severity::warning, "frame_of_other_incarnation",
     "A frame for another incarnation at this address was dropped."},
    {event_id::frame_of_unknown_attempt, severity::info, "frame_of_unknown_attempt",
     "A late, duplicate or misrouted frame was dropped."},
    {event_id::frame_unsent, severity::warning, "frame_unsent",
     "A frame was given up: the attempt, the part of the peer it was for, the reason and how long it "
     "waited."},
    {event_id::body_broken, severity::warning, "body_broken",
     "A body was truncated, out of order or did not match its digest."},
    {event_id::peers_not_accepted, severity::error, "peers_not_accepted",
     "Connections of other daemons can't be accepted, for example because no file descriptor is free."},
    {event_id::answer_crossed, severity::warning, "answer_crossed",
     "The backend server sent the answer to another request; it was dropped."},
    {event_id::peer_not_connected, severity::warning, "peer_not_connected",
     "A connection to another daemon could not be opened: the reason and how long it was tried."},
    {event_id::frame_failed, severity::error, "frame_failed",
     "An internal error came up while a frame was handled: its attempt, the part that it was for, and what "
     "it was. "
     "Later frames are handled."},

    // 7000: quotas of client accounts
    {event_id::quota_lease_gained, severity::notice, "quota_lease_gained",
     "This daemon owns a shard of the client accounts: it grants the tokens of their limits."},
    {event_id::quota_lease_lost, severity::notice, "quota_lease_lost",
     "This daemon no longer owns a shard of the client accounts."},
    {event_id::quota_refused, severity::warning, "quota_refused",
     "Calls of an account are refused with 429: its limit, its demand over the fleet and the time until "
     "there "
     "is a token."},
    {event_id::quota_unanswered, severity::warning, "quota_unanswered",
     "Calls of an account are refused with 503, as no owner of its quota answered in time: the daemon that "
     "was asked."},
});

} // namespace monsoonlift::logging
