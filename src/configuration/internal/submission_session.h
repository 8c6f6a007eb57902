#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/audit_trail.h"
#include "configuration/submitter.h"
#include "configuration/types/document.h"
#include "store/backoff.h"

namespace monsoonlift::configuration::internal {

/// One submission in progress. Keeps itself alive until its handler has been called.
class submission_session : public std::enable_shared_from_this<submission_session> {
public:
    submission_session(store::object_api& api, store::scheduler& timer, const core::clock& clock,
                       std::uint64_t seed, submission_request request, core::steady_time deadline,
                       submitter::handler done);

    /// Validates the document, then reads the accepted configuration.
    void start();

private:
    /// A prepared conditional write and the object version that it replaces.
    struct prepared_write {
        std::uint64_t expected_version = 0;
        std::uint64_t revision = 0;
        std::string value;
        std::vector<std::string> changes;
    };

    void read();
    void on_read(core::result<store::object> answered);
    void evaluate(const store::object& current);
    void resolve(std::uint64_t version);
    void decide(std::uint64_t version);
    void prepare(std::uint64_t version);
    void archive();
    void check_archive();
    void on_archived(core::result<std::uint64_t> answered);
    void write();
    void on_written(core::result<std::uint64_t> answered);
    void search_history(std::uint64_t after_revision);
    void report_conflict(std::uint64_t revision, const std::string& detail);
    void report_accepted(const audit_entry& entry);
    void repeat(void (submission_session::*step)(), const core::error& failure);
    void finish(const submission_outcome& outcome);
    [[nodiscard]] std::uint64_t accepted_revision() const;
    [[nodiscard]] std::chrono::milliseconds call_patience() const;

    store::object_api& m_api;
    store::scheduler& m_timer;
    const core::clock& m_clock;
    store::random_engine m_random;
    submission_request m_request;
    core::steady_time m_deadline;
    submitter::handler m_done;

    document m_document;
    std::optional<stored_configuration> m_accepted;
    std::optional<archive_plan> m_plan;
    std::optional<prepared_write> m_write;
    bool m_sent = false;            ///< The write was sent at least once.
    bool m_outcome_unknown = false; ///< The answer to a write was lost, so the write may have taken effect.
    std::uint32_t m_attempt = 0;
};

} // namespace monsoonlift::configuration::internal
