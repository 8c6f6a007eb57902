#include "configuration/internal/submission_session.h"

#include <algorithm>
#include <utility>

#include "configuration/document_reader.h"
#include "configuration/next_revision.h"
#include "configuration/stored_configuration_json.h"
#include "store/limits.h"
#include "store/settled.h"

namespace monsoonlift::configuration::internal {

namespace {

constexpr std::chrono::milliseconds longest_call{2000};
constexpr std::chrono::milliseconds shortest_call{1};

/// Returns the error text for a base revision that is higher than the accepted one.
std::string unknown_base(std::uint64_t base, std::uint64_t in_force) {
    const auto now = in_force == 0 ? std::string("no configuration has been accepted yet")
                                   : "revision " + std::to_string(in_force) + " is in force";
    return "the submission names revision " + std::to_string(base) + " as its base, but " + now +
           "; nothing was written. Check that this is the platform you mean, bring the document up to date "
           "with what is in force and submit it with base " +
           std::to_string(in_force);
}

} // namespace

submission_session::submission_session(store::object_api& api, store::scheduler& timer,
                                       const core::clock& clock, std::uint64_t seed,
                                       submission_request request, core::steady_time deadline,
                                       submitter::handler done)
    : m_api(api), m_timer(timer), m_clock(clock), m_random(seed), m_request(std::move(request)),
      m_deadline(deadline), m_done(std::move(done)) {}

void submission_session::start() {
    if (m_request.who.empty() || m_request.submission.empty()) {
        finish({submission_status::invalid, 0, "a submission needs an author and an identity", {}, {}, {}});
        return;
    }
    auto checked = read_document(m_request.document);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&checked)) {
        finish({submission_status::invalid, 0, "the document has errors", {}, {}, *errors});
        return;
    }
    m_document = std::move(std::get<document>(checked));
    read();
}

void submission_session::read() {
    m_api.get(current_object, call_patience(),
              [self = shared_from_this()](core::result<store::object> answered) {
                  self->on_read(std::move(answered));
              });
}

void submission_session::on_read(core::result<store::object> answered) {
    const auto answer = store::settle_result(std::move(answered));
    if (answer.value) {
        evaluate(*answer.value);
        return;
    }
    if (answer.failure.code != core::error_code::not_found) {
        repeat(&submission_session::read, answer.failure);
        return;
    }
    m_accepted.reset();
    decide(0);
}

void submission_session::evaluate(const store::object& current) {
    auto stored = parse_stored_configuration(current.value);
    if (!stored) {
        finish({submission_status::invalid,
                0,
                "configuration/current is not a valid stored configuration",
                {},
                {},
                {}});
        return;
    }
    m_accepted = std::move(stored);
    if (const auto* own_entry = find_submission(*m_accepted, m_request.submission)) {
        report_accepted(*own_entry);
        return;
    }
    if (m_sent) {
        resolve(current.version);
        return;
    }
    decide(current.version);
}

/// Called once the write has been sent but is not in `configuration/current`: resends it only if the object
/// still has the version that the write expects, otherwise searches the audit trail for it.
void submission_session::resolve(std::uint64_t version) {
    if (version == m_write->expected_version) {
        write();
        return;
    }
    search_history(m_write->revision - 1);
}

void submission_session::decide(std::uint64_t version) {
    if (m_sent) {
        resolve(version);
        return;
    }
    if (m_request.base_revision && *m_request.base_revision > accepted_revision()) {
        report_conflict(accepted_revision(), unknown_base(*m_request.base_revision, accepted_revision()));
        return;
    }
    if (m_request.base_revision && *m_request.base_revision != accepted_revision()) {
        search_history(*m_request.base_revision);
        return;
    }
    if (m_accepted && m_accepted->document == m_request.document) {
        finish({submission_status::unchanged, accepted_revision(), "the same text is in force", {}, {}, {}});
        return;
    }
    prepare(version);
}

void submission_session::prepare(std::uint64_t version) {
    auto changes = describe_changes(m_accepted, m_document);
    m_plan = m_accepted ? plan_archive(*m_accepted) : std::nullopt;
    const auto base = m_plan ? without_archived(*m_accepted, *m_plan) : m_accepted;
    const auto next = next_revision(base, m_request, changes, m_clock.wall_now());
    m_write = prepared_write{version, next.revision, to_json(next), std::move(changes)};
    if (m_write->value.size() > store::max_value_bytes) {
        finish({submission_status::invalid,
                accepted_revision(),
                "the stored form has " + std::to_string(m_write->value.size()) + " bytes, at most " +
                    std::to_string(store::max_value_bytes) + " are allowed",
                {},
                {},
                {}});
        return;
    }
    if (m_plan) {
        archive();
        return;
    }
    write();
}

void submission_session::archive() {
    m_api.update_if(m_plan->name, 0, to_json(m_plan->archive), call_patience(),
                    [self = shared_from_this()](core::result<std::uint64_t> answered) {
                        self->on_archived(std::move(answered));
                    });
}

void submission_session::on_archived(core::result<std::uint64_t> answered) {
    const auto answer = store::settle_result(std::move(answered));
    // NOTE: an archive's name determines its content, so an object that already exists is the same archive.
    if (answer.value || answer.failure.code == core::error_code::conflict) {
        write();
        return;
    }
    repeat(&submission_session::check_archive, answer.failure);
}

/// Called when the answer to writing the archive was lost: writes it again only if it does not exist.
void submission_session::check_archive() {
    m_api.get(m_plan->name, call_patience(),
              [self = shared_from_this()](core::result<store::object> answered) {
                  const auto answer = store::settle_result(std::move(answered));
                  if (answer.value) {
                      self->write();
                      return;
                  }
                  if (answer.failure.code == core::error_code::not_found) {
                      self->archive();
                      return;
                  }
                  self->repeat(&submission_session::check_archive, answer.failure);
              });
}

void submission_session::write() {
    m_sent = true;
    m_api.update_if(current_object, m_write->expected_version, m_write->value, call_patience(),
                    [self = shared_from_this()](core::result<std::uint64_t> answered) {
                        self->on_written(std::move(answered));
                    });
}

void submission_session::on_written(core::result<std::uint64_t> answered) {
    const auto answer = store::settle_result(std::move(answered));
    if (answer.value) {
        finish({submission_status::accepted, m_write->revision, "accepted", m_write->changes, {}, {}});
        return;
    }
    if (answer.failure.code == core::error_code::conflict) {
        read();
        return;
    }
    if (answer.failure.code == core::error_code::invalid_input) {
        finish({submission_status::invalid, accepted_revision(), answer.failure.message, {}, {}, {}});
        return;
    }
    m_outcome_unknown = m_outcome_unknown || answer.failure.run != core::verdict::not_run;
    repeat(&submission_session::read, answer.failure);
}

/// Searches the audit trail after `after_revision`, archives included, for the submission, which may have
/// been accepted and archived since. If it is not there, reports a conflict with the entries read.
void submission_session::search_history(std::uint64_t after_revision) {
    if (!m_accepted) {
        report_conflict(after_revision, "the accepted configuration was removed from the platform");
        return;
    }
    const history_query query{0, after_revision};
    read_history(m_api, *m_accepted, query, call_patience(),
                 [self = shared_from_this()](core::result<std::vector<audit_entry>> answered) {
                     const auto answer = store::settle_result(std::move(answered));
                     if (!answer.value) {
                         self->repeat(&submission_session::read, answer.failure);
                         return;
                     }
                     for (const auto& entry : *answer.value) {
                         if (entry.submission == self->m_request.submission) {
                             self->report_accepted(entry);
                             return;
                         }
                     }
                     self->finish({submission_status::conflict,
                                   self->accepted_revision(),
                                   "another change was accepted meanwhile",
                                   {},
                                   *answer.value,
                                   {}});
                 });
}

void submission_session::report_conflict(std::uint64_t revision, const std::string& detail) {
    finish({submission_status::conflict, revision, detail, {}, {}, {}});
}

void submission_session::report_accepted(const audit_entry& entry) {
    finish({submission_status::accepted, entry.revision, "accepted", entry.changes, {}, {}});
}

void submission_session::repeat(void (submission_session::*step)(), const core::error& failure) {
    const auto delay = store::next_delay({}, m_attempt++, m_random);
    if (m_clock.now() + delay >= m_deadline) {
        const auto status = m_outcome_unknown ? submission_status::unknown : submission_status::unavailable;
        finish({status, accepted_revision(), failure.message, {}, {}, {}});
        return;
    }
    m_timer.after(delay, [self = shared_from_this(), step] { (self.get()->*step)(); });
}

void submission_session::finish(const submission_outcome& outcome) {
    m_done(outcome);
}

std::uint64_t submission_session::accepted_revision() const {
    return m_accepted ? m_accepted->revision : 0;
}

std::chrono::milliseconds submission_session::call_patience() const {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_clock.now());
    return std::clamp(left, shortest_call, longest_call);
}

} // namespace monsoonlift::configuration::internal
