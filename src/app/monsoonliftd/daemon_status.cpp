// The part of daemon that serves the admin port: routes, metrics, status and the quarantine.
#include "app/monsoonliftd/daemon.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace monsoonlift::app {

namespace {

using admin::access;
using admin::admin_request;
using admin::admin_response;

std::string_view to_string(membership::member_status status) {
    switch (status) {
    case membership::member_status::alive:
        return "alive";
    case membership::member_status::suspect:
        return "suspect";
    case membership::member_status::dead:
        return "dead";
    case membership::member_status::left:
        return "left";
    }
    return "unknown";
}

boost::json::object describe(const membership::member& known) {
    return {{"name", known.name},
            {"transport", known.id.address},
            {"incarnation", known.id.life.value},
            {"admin", known.admin_address},
            {"data_centre", known.data_centre},
            {"service", known.service},
            {"status", to_string(known.status)},
            {"draining", known.draining}};
}

boost::json::object describe(const entry::entry_counters& totals) {
    return {{"calls", totals.calls},        {"answered", totals.answered}, {"refused", totals.refused},
            {"failed", totals.failed},      {"attempts", totals.attempts}, {"retries", totals.retries},
            {"in_flight", totals.in_flight}};
}

boost::json::object describe(const gate::gate_counters& totals) {
    return {{"arrived", totals.arrived}, {"answered", totals.answered},   {"refused", totals.refused},
            {"failed", totals.failed},   {"cancelled", totals.cancelled}, {"in_flight", totals.in_flight}};
}

boost::json::object describe(const transport::transport_counters& totals) {
    return {{"received", totals.received},
            {"sent", totals.sent},
            {"unsent", totals.unsent},
            {"corrupt", totals.corrupt},
            {"wrong_incarnation", totals.wrong_incarnation}};
}

boost::json::object describe(const routing::load_report& load) {
    return {{"running", load.running},
            {"waiting", load.waiting},
            {"limit", load.limit},
            {"shed_rank", load.level.rank},
            {"shed_bucket", load.level.bucket}};
}

boost::json::object describe(const quota::quota_status& quotas) {
    boost::json::array shards;
    for (const auto shard : quotas.owned_shards) {
        shards.emplace_back(shard);
    }
    boost::json::array accounts;
    for (const auto& known : quotas.accounts) {
        accounts.push_back({{"name", known.name},
                            {"rate_per_second", known.limit.rate_per_second},
                            {"burst", known.limit.burst},
                            {"demand", known.demand},
                            {"taken", known.taken},
                            {"limited", known.limited},
                            {"unanswered", known.unanswered}});
    }
    return {{"owned_shards", std::move(shards)}, {"accounts", std::move(accounts)}};
}

boost::json::array describe(const std::vector<entry::account_use>& uses) {
    boost::json::array accounts;
    for (const auto& use : uses) {
        boost::json::object refused;
        for (const auto& [reason, total] : use.refused) {
            refused[reason] = total;
        }
        accounts.push_back({{"name", use.name},
                            {"calls", use.calls},
                            {"answered", use.answered},
                            {"refused", std::move(refused)}});
    }
    return accounts;
}

} // namespace

void daemon::add_routes() {
    m_admin.route("GET", "/health", access::open, [](const admin_request&) {
        return admin_response{200, "text/plain", "ok\n"};
    });
    m_admin.route("GET", "/ready", access::open, [this](const admin_request&) { return ready(); });
    m_admin.route("GET", "/status", access::open, [this](const admin_request&) {
        return admin_response{200, "application/json", status()};
    });
    m_admin.route("GET", "/metrics", access::open, [this](const admin_request&) {
        return admin_response{200, "text/plain; version=0.0.4", m_metrics.render()};
    });
    m_admin.route("GET", "/configuration", access::open, [this](const admin_request&) {
        auto copy = m_configuration.peer_copy();
        const unsigned status_code = copy.empty() ? 404 : 200;
        return admin_response{status_code, "application/json", std::move(copy)};
    });
    m_admin.route_deferred(
        "POST", "/announce", access::open,
        [this](const admin_request& request, const admin::admin_reply& reply) { announce(request, reply); });
    m_admin.route_deferred(
        "POST", "/withdraw", access::open,
        [this](const admin_request& request, const admin::admin_reply& reply) { withdraw(request, reply); });
    m_admin.route("GET", "/quarantine", access::open, [this](const admin_request&) {
        return admin_response{200, "application/json", quarantined()};
    });
    m_admin.route("POST", "/quarantine", access::token,
                  [this](const admin_request& request) { return quarantine(request); });
    m_admin.route("POST", "/drain", access::token, [this](const admin_request&) {
        boost::asio::post(m_control, [this] { stop_gracefully(); });
        return admin_response{202, "application/json", R"({"phase":"draining"})"};
    });
}

void daemon::add_metrics() {
    const auto gauge = [this](const std::string& name, const std::string& help, auto read) {
        m_metrics.add_gauge(name, help, "", [read] { return static_cast<double>(read()); });
    };
    const auto total = [this](const std::string& name, const std::string& help, auto read) {
        m_metrics.add_total(name, help, "", [read] { return static_cast<double>(read()); });
    };
    gauge("monsoonlift_calls_in_flight", "Calls of callers now.",
          [this] { return m_entry.counters().in_flight; });
    total("monsoonlift_calls_total", "Calls of callers.", [this] { return m_entry.counters().calls; });
    gauge("monsoonlift_gate_in_flight", "Requests that wait or run at the gate.",
          [this] { return m_gate.counters().in_flight; });
    total("monsoonlift_gate_arrived_total", "Requests that reached the gate.",
          [this] { return m_gate.counters().arrived; });
    gauge("monsoonlift_gate_limit", "Requests that may run at once.",
          [this] { return m_gate.report().limit; });
    gauge("monsoonlift_gate_running", "Requests that run.", [this] { return m_gate.report().running; });
    gauge("monsoonlift_gate_waiting", "Requests that wait for a slot.",
          [this] { return m_gate.report().waiting; });
    gauge("monsoonlift_gate_shed_rank",
          "Rank of the class that the threshold cuts, 0 being shed last; 255 while all are admitted.",
          [this] { return m_gate.report().level.rank; });
    gauge("monsoonlift_gate_shed_bucket", "Buckets of that class that are admitted, of 256.",
          [this] { return m_gate.report().level.bucket; });
    gauge("monsoonlift_configuration_revision", "Revision in force; 0 while none is known.",
          [this] { return m_configuration.revision(); });
    total("monsoonlift_membership_sent_bytes_total", "Bytes of membership datagrams sent, with headers.",
          [this] { return m_membership->traffic().sent; });
    total("monsoonlift_membership_received_bytes_total",
          "Bytes of membership datagrams received, with headers.",
          [this] { return m_membership->traffic().received; });
    total("monsoonlift_handlers_failed_total", "Handlers that an internal error ended.",
          [this] { return m_handlers_failed.load(); });
    total("monsoonlift_log_lines_left_out_total", "Log lines not written, to bound the log.",
          [this] { return m_log.left_out(); });
    total("monsoonlift_frames_corrupt_total", "Frames dropped as corrupt.",
          [this] { return m_transport.counters().corrupt; });
    m_quota->add_metrics(m_metrics);
    total("monsoonlift_frames_wrong_incarnation_total", "Frames dropped as meant for another life.",
          [this] { return m_transport.counters().wrong_incarnation; });
    add_freshness_metrics();
}

std::string daemon::quarantined() const {
    boost::json::array requests;
    for (const auto& known : m_crashes.requests()) {
        requests.push_back({{"request", std::to_string(known.request.value)},
                            {"crashes", known.crashes},
                            {"held", known.held},
                            {"seconds_left", known.left.count()}});
    }
    return boost::json::serialize(requests);
}

admin::admin_response daemon::quarantine(const admin_request& request) {
    boost::system::error_code failure;
    const auto document = boost::json::parse(request.body, failure);
    const auto* fields = failure ? nullptr : document.if_object();
    const auto* name = fields != nullptr ? fields->if_contains("request") : nullptr;
    const auto* held = fields != nullptr ? fields->if_contains("held") : nullptr;
    if (name == nullptr || !name->is_string() || held == nullptr || !held->is_bool()) {
        return {400, "text/plain", "expected {\"request\":\"NUMBER\",\"held\":true or false}\n"};
    }
    const std::string_view text = name->get_string();
    execution::request_fingerprint fingerprint;
    const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), fingerprint.value);
    if (wrong != std::errc() || end != text.data() + text.size()) {
        return {400, "text/plain", "request must be the number that GET /quarantine shows\n"};
    }
    m_crashes.rule(fingerprint, held->get_bool());
    return {200, "application/json", "{}"};
}

admin::admin_response daemon::ready() const {
    const auto now = m_phase.load();
    const bool is_ready = now == lifecycle::phase::serving;
    return {is_ready ? 200U : 503U, "text/plain", std::string(lifecycle::to_string(now)) + "\n"};
}

std::string daemon::status() const {
    boost::json::array members;
    for (const auto& known : m_directory.members()) {
        members.push_back(describe(known));
    }
    const auto backend = m_gate.backend();
    boost::json::object document{
        {"fleet", m_settings.fleet},
        {"name", m_settings.name},
        {"data_centre", m_settings.data_centre},
        {"incarnation", m_incarnation.value},
        {"revision", m_configuration.revision()},
        {"phase", lifecycle::to_string(m_phase.load())},
        {"service", backend ? backend->service : ""},
        {"backend", backend ? backend->address : ""},
        {"load", describe(m_gate.report())},
        {"entry", describe(m_entry.counters())},
        {"gate", describe(m_gate.counters())},
        {"transport", describe(m_transport.counters())},
        {"quota", describe(m_quota->status())},
        {"members", std::move(members)},
    };
    const auto uses = m_entry.account_uses();
    if (!uses.empty()) {
        document["accounts"] = describe(uses);
    }
    return boost::json::serialize(document);
}

} // namespace monsoonlift::app
