#include "configuration/next_revision.h"

#include <algorithm>
#include <utility>

#include "configuration/document_diff.h"
#include "configuration/document_reader.h"
#include "configuration/stored_configuration_json.h"

namespace monsoonlift::configuration {

namespace {

constexpr std::size_t max_change_lines = 50;
constexpr std::size_t max_change_length = 160;

std::string shortened(std::string line) {
    if (line.size() > max_change_length) {
        line.resize(max_change_length);
        line += "...";
    }
    return line;
}

} // namespace

std::vector<std::string> describe_changes(const std::optional<stored_configuration>& accepted,
                                          const document& submitted) {
    document before;
    if (accepted) {
        auto read = read_document(accepted->document, accepted_limits);
        if (auto* known = std::get_if<document>(&read)) {
            before = std::move(*known);
        }
    }
    const auto changes = diff(before, submitted);
    std::vector<std::string> lines;
    for (const auto& change : changes) {
        if (lines.size() == max_change_lines) {
            lines.push_back("and " + std::to_string(changes.size() - max_change_lines) + " more");
            break;
        }
        lines.push_back(shortened(to_string(change)));
    }
    if (lines.empty()) {
        lines.emplace_back("text only: same rules");
    }
    return lines;
}

stored_configuration next_revision(const std::optional<stored_configuration>& accepted,
                                   const submission_request& request, std::vector<std::string> changes,
                                   core::wall_time now) {
    stored_configuration next = accepted.value_or(stored_configuration{});
    const auto from = next.revision;
    next.revision = from + 1;
    next.submission = request.submission;
    next.document = request.document;
    next.digest = digest_of(next);
    next.audit.push_back(
        {next.revision, from, request.who, request.message, request.submission, now, std::move(changes)});
    return next;
}

const audit_entry* find_submission(const stored_configuration& stored, const std::string& submission) {
    const auto found =
        std::find_if(stored.audit.begin(), stored.audit.end(),
                     [&submission](const audit_entry& entry) { return entry.submission == submission; });
    return found == stored.audit.end() ? nullptr : &*found;
}

} // namespace monsoonlift::configuration
