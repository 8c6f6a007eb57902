#include "entry/internal/freshness_check.h"

#include "configuration/freshness_rules.h"

#include <chrono>
#include <string>

namespace monsoonlift::entry::internal {

namespace {

constexpr unsigned status_unauthorized = 401;

/// A proof arrives about once a second while store or peers can be reached.
constexpr std::chrono::milliseconds outdated_retry_after{1000};

/// Whether the key of a root call decides about it. A key that is unknown to an outdated configuration may be
/// known to a later one, so these calls count too.
bool depends_on_key(const std::variant<parsed_call, problem>& parsed) {
    if (const auto* trouble = std::get_if<problem>(&parsed)) {
        return trouble->status == status_unauthorized;
    }
    const auto& call = std::get<parsed_call>(parsed);
    return call.needs_key && !call.parent;
}

std::string age_text(std::optional<core::boot_time> proven, core::boot_time now) {
    if (!proven) {
        return "never proven";
    }
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - *proven).count());
}

std::string detail_text(std::optional<core::boot_time> proven, std::chrono::milliseconds bound,
                        core::boot_time now) {
    const auto limit = "; the bound is " + std::to_string(bound.count()) + " ms";
    if (!proven) {
        return "nothing has proven yet that this daemon has the latest configuration" + limit;
    }
    return "this daemon was known to have the latest configuration " + age_text(proven, now) + " ms ago" +
           limit;
}

} // namespace

std::optional<problem> freshness_check::refuse(const std::variant<parsed_call, problem>& parsed,
                                               std::uint64_t revision, const core::clock& clock,
                                               logging::event_log& log) const {
    if (proofs == nullptr || !depends_on_key(parsed)) {
        return std::nullopt;
    }
    const auto now = clock.boot_now();
    if (configuration::may_serve(proven, proofs->bound(), now)) {
        return std::nullopt;
    }
    if (proofs->count_refusal(now)) {
        log.write(logging::event_id::configuration_outdated,
                  {{"age_ms", age_text(proven, now)},
                   {"bound_ms", std::to_string(proofs->bound().count())},
                   {"revision", std::to_string(revision)}});
    }
    problem outdated{503,
                     core::verdict::not_run,
                     "configuration-outdated",
                     "The configuration may be outdated",
                     detail_text(proven, proofs->bound(), now),
                     outdated_retry_after};
    const auto* refused = std::get_if<problem>(&parsed);
    outdated.request = refused != nullptr ? refused->request : std::get<parsed_call>(parsed).request;
    return outdated;
}

freshness_check begin_freshness_check(configuration::freshness_holder* proofs) {
    return {proofs, proofs == nullptr ? std::nullopt : proofs->proven()};
}

} // namespace monsoonlift::entry::internal
