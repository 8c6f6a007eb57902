#include "app/monsoonctl/commands.h"

#include <array>
#include <charconv>
#include <utility>

#include <boost/json.hpp>

#include "app/monsoonctl/internal/current_configuration.h"
#include "app/monsoonctl/result_format.h"
#include "configuration/document_reader.h"

namespace monsoonlift::monsoonctl {

namespace json = boost::json;
namespace model = monsoonlift::configuration;

namespace {

/// Name under which a daemon counts the accounts beyond those that it counts apart.
constexpr auto other_name = "other";

std::string number_text(double number) {
    std::array<char, 32> text{};
    const auto [end, failure] = std::to_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() ? std::string(text.data(), end) : std::string("?");
}

std::string class_text(const model::document& document, const accounts::account& account) {
    const bool is_known = account.rank && *account.rank < document.classes.size();
    return is_known ? document.classes.at(*account.rank) : std::string();
}

std::string limit_text(const accounts::account_limit& limit) {
    return limit.rate_per_second > 0
               ? number_text(limit.rate_per_second) + "/s, burst " + number_text(limit.burst)
               : std::string("none");
}

/// Returns the uses that the daemon's status reports, by account; empty if it reports none.
json::object uses_in(const std::string& status) {
    json::object uses;
    boost::system::error_code failure;
    const auto parsed = json::parse(status, failure);
    const auto* fields = failure ? nullptr : parsed.if_object();
    const auto* listed = fields == nullptr ? nullptr : fields->if_contains("accounts");
    if (listed == nullptr || !listed->is_array()) {
        return uses;
    }
    for (const auto& each : listed->get_array()) {
        const auto* use = each.if_object();
        const auto* name = use == nullptr ? nullptr : use->if_contains("name");
        if (name != nullptr && name->is_string()) {
            uses[name->get_string()] = *use;
        }
    }
    return uses;
}

std::string use_text(const json::value* use) {
    if (use == nullptr || !use->is_object()) {
        return {};
    }
    std::string text;
    for (const auto* name : {"calls", "answered", "refused"}) {
        if (const auto* value = use->get_object().if_contains(name)) {
            text += "  " + std::string(name) + " " + json::serialize(*value);
        }
    }
    return text;
}

json::object describe(const model::document& document, const accounts::account& account,
                      const json::value* use) {
    json::object fields{{"name", account.name},
                        {"class", class_text(document, account)},
                        {"rate_per_second", account.limit.rate_per_second},
                        {"burst", account.limit.burst},
                        {"keys", account.keys.size()}};
    if (use != nullptr) {
        fields["use"] = *use;
    }
    return fields;
}

std::string account_text(const model::document& document, const accounts::account& account,
                         const json::value* use) {
    const auto of_class = class_text(document, account);
    return account.name + "  class " + (of_class.empty() ? "of the route" : of_class) + "  limit " +
           limit_text(account.limit) + "  keys " + std::to_string(account.keys.size()) + use_text(use) + "\n";
}

exit_code print_accounts(const model::document& document, const json::object& uses, console& out) {
    if (!document.accounts) {
        return out.print_result(exit_code::ok, "the configuration lists no accounts: callers need no key",
                                {{"revision", document.revision}, {"accounts", nullptr}});
    }
    std::string text = "revision " + std::to_string(document.revision) + ": " +
                       std::to_string(document.accounts->accounts.size()) + " accounts\n";
    json::array values;
    for (const auto& account : document.accounts->accounts) {
        const auto* use = uses.if_contains(account.name);
        text += account_text(document, account, use);
        values.push_back(describe(document, account, use));
    }
    const auto* others = uses.if_contains(other_name);
    const bool is_sum =
        others != nullptr && accounts::find_by_name(*document.accounts, other_name) == nullptr;
    if (is_sum) {
        text += "further accounts" + use_text(others) + "\n";
    }
    for (const auto& fault : document.left_out) {
        text += "left out: " + fault + "\n";
    }
    return out.print_result(exit_code::ok, text,
                            {{"revision", document.revision},
                             {"accounts", std::move(values)},
                             {"further", is_sum ? *others : json::value(nullptr)},
                             {"left_out", line_values(document.left_out)}});
}

} // namespace

exit_code run_accounts(const command_line& line, control_session& session, console& out) {
    const bool asks_daemon = !line.daemon.empty();
    const auto stored =
        asks_daemon ? read_configuration_of_daemon(line, session) : read_current(line, session);
    if (!stored.value) {
        return out.print_failure(exit_code_of(stored.failure), stored.failure.message);
    }
    auto read = model::read_document(stored.value->document, model::accepted_limits);
    auto* document = std::get_if<model::document>(&read);
    if (document == nullptr) {
        return out.print_failure(exit_code::refused, "the configuration in force can't be read");
    }
    document->revision = stored.value->revision;
    json::object uses;
    if (asks_daemon) {
        const auto status = get_from_daemon(line, "/status", session);
        if (!status.value) {
            return out.print_failure(exit_code_of(status.failure), status.failure.message);
        }
        uses = uses_in(*status.value);
    }
    return print_accounts(*document, uses, out);
}

} // namespace monsoonlift::monsoonctl
