#include "app/monsoonctl/commands.h"

#include <array>
#include <random>
#include <utility>

#include "app/monsoonctl/internal/current_configuration.h"
#include "app/monsoonctl/result_format.h"
#include "configuration/audit_trail.h"
#include "configuration/document_diff.h"
#include "configuration/document_reader.h"
#include "configuration/stored_configuration_json.h"
#include "configuration/submitter.h"

namespace monsoonlift::monsoonctl {

namespace json = boost::json;
namespace model = monsoonlift::configuration;

namespace {

std::string make_submission_id(std::random_device& random) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t length = 32;
    std::uniform_int_distribution<std::size_t> pick(0, digits.size() - 1);
    std::string id;
    for (std::size_t at = 0; at < length; ++at) {
        id.push_back(digits[pick(random)]);
    }
    return id;
}

exit_code exit_code_of(model::submission_status status) {
    switch (status) {
    case model::submission_status::accepted:
    case model::submission_status::unchanged:
        return exit_code::ok;
    case model::submission_status::invalid:
        return exit_code::refused;
    case model::submission_status::conflict:
        return exit_code::conflict;
    case model::submission_status::unavailable:
        return exit_code::unavailable;
    case model::submission_status::unknown:
        break;
    }
    return exit_code::unknown;
}

std::string status_name(model::submission_status status) {
    constexpr std::array names{"accepted", "unchanged", "invalid", "conflict", "unavailable", "unknown"};
    return names.at(static_cast<std::size_t>(status));
}

std::string resend_hint(const model::submission_request& request, std::uint64_t base) {
    return "The change may have been accepted. Ask again with --submission " + request.submission +
           " --base " + std::to_string(base) + "\n";
}

std::string outcome_text(const model::submission_request& request, const model::submission_outcome& outcome) {
    std::string text = status_name(outcome.status) + ": " + outcome.detail + ", revision " +
                       std::to_string(outcome.revision) + ", submission " + request.submission + "\n";
    text += indented(outcome.changes) + error_text(outcome.errors);
    for (const auto& entry : outcome.others) {
        text += entry_text(entry);
    }
    if (outcome.status == model::submission_status::unknown) {
        text += resend_hint(request, outcome.revision);
    }
    return text;
}

json::object outcome_fields(const model::submission_request& request,
                            const model::submission_outcome& outcome) {
    return {{"status", status_name(outcome.status)},   {"revision", outcome.revision},
            {"submission", request.submission},        {"detail", outcome.detail},
            {"changes", line_values(outcome.changes)}, {"others", entry_values(outcome.others)},
            {"errors", error_values(outcome.errors)}};
}

exit_code print_errors(const std::vector<settings::settings_error>& errors, console& out) {
    return out.print_result(exit_code::refused, error_text(errors),
                            {{"valid", false}, {"errors", error_values(errors)}});
}

} // namespace

exit_code run_validate(const std::string& document, console& out) {
    const auto read = model::read_document(document);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&read)) {
        return print_errors(*errors, out);
    }
    std::size_t calls = 0;
    const auto& services = std::get<model::document>(read).services;
    for (const auto& service : services) {
        calls += service.calls.size();
    }
    const auto text =
        "valid: " + std::to_string(services.size()) + " services, " + std::to_string(calls) + " calls";
    return out.print_result(exit_code::ok, text,
                            {{"valid", true}, {"services", services.size()}, {"calls", calls}});
}

exit_code run_submit(const command_line& line, const std::string& document, control_session& session,
                     console& out) {
    std::random_device random;
    model::submission_request request{document, line.who, line.message, line.submission, line.base_revision};
    if (request.submission.empty()) {
        request.submission = make_submission_id(random);
    }
    model::submitter submitter(session.api(), session.timer(), session.clock(), random());
    model::submission_outcome outcome;
    submitter.submit(request, line.patience,
                     [&outcome](const model::submission_outcome& ended) { outcome = ended; });
    session.run();
    return out.print_result(exit_code_of(outcome.status), outcome_text(request, outcome),
                            outcome_fields(request, outcome));
}

exit_code run_show(const command_line& line, control_session& session, console& out) {
    const auto current = read_current(line, session);
    if (!current.value) {
        return out.print_failure(exit_code_of(current.failure), current.failure.message);
    }
    const auto& stored = *current.value;
    const auto document = line.with_digests ? stored.document : without_key_digests(stored.document);
    return out.print_result(exit_code::ok, document,
                            {{"revision", stored.revision},
                             {"submission", stored.submission},
                             {"digest", stored.digest},
                             {"document", document}});
}

exit_code run_diff(const command_line& line, const std::string& document, control_session& session,
                   console& out) {
    const auto read = model::read_document(document);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&read)) {
        return print_errors(*errors, out);
    }
    const auto current = read_current(line, session);
    const bool is_first = !current.value && current.failure.code == core::error_code::not_found;
    if (!current.value && !is_first) {
        return out.print_failure(exit_code_of(current.failure), current.failure.message);
    }
    model::document before;
    if (current.value) {
        auto accepted = model::read_document(current.value->document, model::accepted_limits);
        if (auto* known = std::get_if<model::document>(&accepted)) {
            before = std::move(*known);
        }
    }
    std::vector<std::string> lines;
    for (const auto& change : model::diff(before, std::get<model::document>(read))) {
        lines.push_back(to_string(change));
    }
    const auto revision = current.value ? current.value->revision : 0;
    const auto head =
        "against revision " + std::to_string(revision) + ": " + std::to_string(lines.size()) + " changes\n";
    return out.print_result(exit_code::ok, head + indented(lines),
                            {{"revision", revision}, {"changes", line_values(lines)}});
}

exit_code run_history(const command_line& line, control_session& session, console& out) {
    const auto answer = session.wait<std::vector<model::audit_entry>>([&](auto done) {
        model::read_history(session.api(), {line.limit, 0}, line.patience, std::move(done));
    });
    const bool is_empty = !answer.value && answer.failure.code == core::error_code::not_found;
    if (!answer.value && !is_empty) {
        return out.print_failure(exit_code_of(answer.failure), answer.failure.message);
    }
    const auto entries = answer.value.value_or(std::vector<model::audit_entry>{});
    std::string text = entries.empty() ? nothing_accepted : "";
    for (const auto& entry : entries) {
        text += entry_text(entry);
    }
    return out.print_result(exit_code::ok, text, {{"entries", entry_values(entries)}});
}

} // namespace monsoonlift::monsoonctl
