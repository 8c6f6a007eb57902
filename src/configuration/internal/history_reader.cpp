#include "configuration/internal/history_reader.h"

#include <utility>

#include "configuration/stored_configuration_json.h"
#include "store/settled.h"

namespace monsoonlift::configuration::internal {

history_reader::history_reader(store::object_api& api, const history_query& query,
                               std::chrono::milliseconds patience, handler done)
    : m_api(api), m_query(query), m_patience(patience), m_done(std::move(done)) {}

void history_reader::start() {
    m_api.get(current_object, m_patience, [self = shared_from_this()](core::result<store::object> answered) {
        const auto answer = store::settle_result(std::move(answered));
        if (!answer.value) {
            self->fail(answer.failure);
            return;
        }
        const auto stored = parse_stored_configuration(answer.value->value);
        if (!stored) {
            self->fail({core::error_code::internal, "configuration/current is malformed"});
            return;
        }
        self->start(*stored);
    });
}

void history_reader::start(const stored_configuration& stored) {
    add(stored.audit);
    read_archive(stored.previous_archive);
}

void history_reader::add(const std::vector<audit_entry>& entries) {
    for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
        if (entry->revision <= m_query.after_revision) {
            m_reached_lower_bound = true;
            return;
        }
        if (!is_complete()) {
            m_entries.push_back(*entry);
        }
    }
}

bool history_reader::is_complete() const {
    return m_reached_lower_bound || (m_query.limit != 0 && m_entries.size() >= m_query.limit);
}

void history_reader::read_archive(const std::string& archive_name) {
    if (archive_name.empty() || is_complete()) {
        m_done(std::move(m_entries));
        return;
    }
    m_api.get(archive_name, m_patience, [self = shared_from_this()](core::result<store::object> answered) {
        self->on_archive(std::move(answered));
    });
}

void history_reader::on_archive(core::result<store::object> answered) {
    const auto answer = store::settle_result(std::move(answered));
    if (!answer.value) {
        fail(answer.failure);
        return;
    }
    const auto archive = parse_audit_archive(answer.value->value);
    if (!archive) {
        fail({core::error_code::internal, answer.value->name + " is malformed"});
        return;
    }
    add(archive->entries);
    read_archive(archive->previous_archive);
}

void history_reader::fail(core::error failure) {
    m_done(core::captured_failure<std::vector<audit_entry>>(std::move(failure)));
}

} // namespace monsoonlift::configuration::internal
