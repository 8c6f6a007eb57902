#include "configuration/freshness_keeper.h"

#include "configuration/freshness_rules.h"
#include "configuration/restore_rules.h"
#include "configuration/stored_configuration_json.h"
#include "core/go_on.h"
#include "store/settled.h"

#include <algorithm>
#include <array>
#include <utility>

namespace monsoonlift::configuration {

freshness_keeper::freshness_keeper(freshness_parts parts, freshness_identity self, const freshness_rule& rule)
    : m_parts(std::move(parts)), m_self(std::move(self)), m_rule(rule), m_random(m_self.seed) {}

void freshness_keeper::start() {
    m_parts.timer.after(std::chrono::nanoseconds::zero(), [self = shared_from_this()] { self->tick(); });
}

void freshness_keeper::stop() {
    m_stopped = true;
}

void freshness_keeper::tick() {
    if (m_stopped) {
        return;
    }
    core::run_then(
        [this] { step(); },
        [this] { m_parts.timer.after(m_rule.tick, [self = shared_from_this()] { self->tick(); }); });
}

void freshness_keeper::step() {
    using self_type = freshness_keeper;
    constexpr std::array steps{&self_type::check_role, &self_type::check_restore, &self_type::note_pending,
                               &self_type::read, &self_type::ask};
    core::for_each_apart(steps, [this](auto each) { (this->*each)(); });
}

void freshness_keeper::check_role() {
    const auto now = m_parts.clock.boot_now();
    if (now < m_state.next_role_check) {
        return;
    }
    m_state.next_role_check = now + m_rule.role_check;
    m_state.peers = find_freshness_peers(m_self.address, m_self.data_centre, m_parts.directory.members(),
                                         m_rule.watchers_per_data_centre);
}

void freshness_keeper::note_era(std::uint64_t era) {
    configuration::note_era(m_state.restore, m_rule, era, m_parts.clock.boot_now());
    if (!reads_prove(m_state.restore)) {
        m_parts.log.write(logging::event_id::earlier_revisions_unknown,
                          {{"era", std::to_string(era)},
                           {"known_era", std::to_string(m_state.restore.known_era)},
                           {"in_force", std::to_string(m_parts.holder.revision())}});
    }
    publish_knowledge();
}

void freshness_keeper::check_restore() {
    if (end_wait(m_state.restore, m_rule, m_parts.clock.boot_now())) {
        m_parts.log.write(logging::event_id::earlier_revisions_assumed,
                          {{"era", std::to_string(m_state.restore.era)},
                           {"in_force", std::to_string(m_parts.holder.revision())}});
    }
    publish_knowledge();
}

void freshness_keeper::publish_knowledge() {
    const auto& known = m_state.restore;
    m_accepted = std::max(known.highest, m_parts.holder.revision());
    m_known_era = known.known_era;
    m_awaits_earlier_revisions = !reads_prove(known);
}

void freshness_keeper::ask() {
    const auto now = m_parts.clock.boot_now();
    for (const auto& peer : next_to_ask(m_state, m_rule, m_parts.proofs.proven(), m_random, now)) {
        const auto number = record_question(m_state, m_rule, m_parts.clock.boot_now());
        m_parts.send(peer, encode(freshness_question{number}));
    }
}

void freshness_keeper::read() {
    const auto now = m_parts.clock.boot_now();
    if (!reads_store(m_state, m_rule, m_parts.proofs.proven(), m_random, now)) {
        return;
    }
    ++m_state.reads;
    const auto sent = m_parts.clock.boot_now();
    m_parts.api.get(current_object, m_rule.read_patience,
                    [self = shared_from_this(), sent](core::result<store::object> answered) {
                        --self->m_state.reads;
                        self->on_read(sent, std::move(answered));
                    });
}

void freshness_keeper::on_read(core::boot_time sent, core::result<store::object> answered) {
    auto answer = store::settle_result(std::move(answered));
    if (m_stopped || !answer.value) {
        return;
    }
    const auto revision = take_value(std::move(answer.value->value));
    if (!reads_prove(m_state.restore)) {
        return;
    }
    note_covered(m_state.restore, sent);
    const auto highest = std::max(m_parts.holder.revision(), m_state.restore.highest);
    if (const auto proof = proof_of_read(revision, highest, sent)) {
        take_proof(*proof);
    }
}

std::uint64_t freshness_keeper::take_value(std::string value) {
    // NOTE: versions are assigned again after a restore of the store, so the texts are compared.
    if (value == m_last_value) {
        return m_last_revision;
    }
    const auto offered = parse_stored_configuration(value);
    if (!offered) {
        m_parts.log.write(logging::event_id::configuration_refused,
                          {{"source", "platform"}, {"reason", "malformed stored configuration"}});
    } else {
        m_parts.holder.adopt(*offered);
    }
    m_last_revision = offered && is_in_force(*offered) ? offered->revision : 0;
    m_last_value = std::move(value);
    return m_last_revision;
}

bool freshness_keeper::is_in_force(const stored_configuration& read) const {
    if (read.revision != m_parts.holder.revision()) {
        return true;
    }
    // NOTE: after a restore of the store a revision may be assigned again, to another text.
    const auto in_force = parse_stored_configuration(m_parts.holder.peer_copy());
    return in_force && in_force->digest == read.digest;
}

void freshness_keeper::received(const core::endpoint_id& from, const std::string& payload) {
    const auto message = decode_freshness_message(payload);
    if (!message || m_stopped) {
        return;
    }
    if (const auto* question = std::get_if<freshness_question>(&*message)) {
        answer(from, *question);
        return;
    }
    m_parts.timer.after(std::chrono::nanoseconds::zero(),
                        [self = shared_from_this(), from, told = std::get<freshness_answer>(*message)] {
                            self->on_answer(from, told);
                        });
}

void freshness_keeper::answer(const core::endpoint_id& from, const freshness_question& question) const {
    const auto proof = m_parts.proofs.latest();
    if (!proof) {
        return;
    }
    // NOTE: the era is read first, so that the revision covers what it stands for.
    const std::uint64_t known_era = m_known_era;
    const auto accepted = std::max(m_accepted.load(), m_parts.holder.revision());
    // NOTE: the clock is read after the proof and before sending, so the age is never told too low.
    const auto age = std::chrono::ceil<std::chrono::microseconds>(m_parts.clock.boot_now() - proof->at);
    m_parts.send(from, encode(freshness_answer{question.number, proof->revision, age, accepted, known_era}));
}

void freshness_keeper::on_answer(const core::endpoint_id& from, const freshness_answer& answer) {
    const auto sent = take_question(m_state, answer.question);
    if (!sent || m_stopped) {
        return;
    }
    note_told(m_state.restore, answer);
    publish_knowledge();
    const auto in_force = m_parts.holder.revision();
    const auto accepted = std::max(answer.revision, answer.accepted);
    if (accepted > in_force && m_parts.on_higher_revision) {
        m_parts.on_higher_revision(from.address, accepted);
    }
    if (const auto proof = proof_of_answer(answer, in_force, *sent)) {
        record_useful_answer(m_state, m_rule, proof->at, m_parts.clock.boot_now());
        take_proof(*proof);
    }
}

void freshness_keeper::take_proof(const freshness_proof& proof) {
    note_covered(m_state.restore, proof.at);
    if (counts(proof, m_parts.holder.revision())) {
        note(proof);
        return;
    }
    keep_pending(m_state, proof);
}

void freshness_keeper::note_pending() {
    if (const auto proof = take_pending(m_state, m_parts.holder.revision())) {
        note(*proof);
    }
}

void freshness_keeper::note(const freshness_proof& proof) {
    m_parts.proofs.note(proof);
    const auto ended = m_parts.proofs.end_refusals(m_parts.clock.boot_now());
    if (ended) {
        m_parts.log.write(logging::event_id::configuration_current,
                          {{"revision", std::to_string(proof.revision)},
                           {"refused", std::to_string(ended->calls)},
                           {"lasted_ms", std::to_string(ended->lasted.count())}});
    }
}

} // namespace monsoonlift::configuration
