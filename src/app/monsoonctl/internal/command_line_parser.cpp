#include "app/monsoonctl/command_line_parser.h"

#include <cstdlib>
#include <map>
#include <stdexcept>
#include <utility>

#include <docopt/docopt.h>

#include "core/types/call_ids.h"
#include "store/http_target.h"

namespace monsoonlift::monsoonctl {

namespace {

constexpr auto platform_variable = "MONSOONLIFT_PLATFORM";

constexpr auto usage = R"(Operators' tool of monsoonlift.

Usage:
  monsoonctl validate FILE [options]
  monsoonctl submit FILE --as WHO [options]
  monsoonctl show [--with-digests] [options]
  monsoonctl accounts [--daemon ADDRESS] [options]
  monsoonctl diff FILE [options]
  monsoonctl history [options]
  monsoonctl status --daemon ADDRESS [options]
  monsoonctl drain --daemon ADDRESS --token-file PATH [options]
  monsoonctl quarantine list --daemon ADDRESS [options]
  monsoonctl quarantine hold REQUEST --daemon ADDRESS --token-file PATH [options]
  monsoonctl quarantine release REQUEST --daemon ADDRESS --token-file PATH [options]
  monsoonctl fence ADDRESS --service NAME --as WHO [options]
  monsoonctl explain ID [LOG...] [options]
  monsoonctl --help

Options:
  --service NAME      Service of the backend server beside the gate.
  --as WHO            Author of the change, for the audit trail.
  --message TEXT      Why the change is made, for the audit trail.
  --base REVISION     Refuse the change unless this revision is in force.
  --submission ID     Ask again what became of an earlier submission; needs its --base.
  --limit N           Newest entries of the history; 0 for all [default: 20].
  --daemon ADDRESS    Administration port of a daemon, "ip:port".
  --with-digests      Print the digests of API keys too, to edit and submit the document.
  --token-file PATH   File that holds the daemon's administration token.
  --platform ADDRESS  "ip:port" of the platform; else the variable MONSOONLIFT_PLATFORM.
  --output FORMAT     text or json [default: text].
  --patience SECONDS  Longest time the command takes [default: 10].
  --help              Show this text.

"explain" prints what the logs say of the request that callers know by the header Monsoonlift-Request-Id; each
LOG is a file with the lines of one or more daemons, "-" or none standard input.

FILE may be "-" for standard input. "fence" asserts that the VM of the gate at transport address ADDRESS is
destroyed: other gates take over its idempotency keys. Never use it on a VM that may still run. Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 unavailable,
5 unknown outcome.
)";

using arguments_map = std::map<std::string, docopt::value>;

std::string text_of(const arguments_map& arguments, const std::string& key) {
    const auto found = arguments.find(key);
    return found != arguments.end() && found->second.isString() ? found->second.asString() : std::string{};
}

bool is_set(const arguments_map& arguments, const std::string& key) {
    const auto found = arguments.find(key);
    return found != arguments.end() && found->second.isBool() && found->second.asBool();
}

std::vector<std::string> list_of(const arguments_map& arguments, const std::string& key) {
    const auto found = arguments.find(key);
    return found != arguments.end() && found->second.isStringList() ? found->second.asStringList()
                                                                    : std::vector<std::string>{};
}

std::uint64_t number_of(const arguments_map& arguments, const std::string& key) {
    const auto parsed = store::parse_whole_number(text_of(arguments, key));
    if (!parsed) {
        throw std::invalid_argument(key + " takes a whole number");
    }
    return *parsed;
}

command command_of(const arguments_map& arguments) {
    static const std::pair<const char*, command> names[] = {{"validate", command::validate},
                                                            {"submit", command::submit},
                                                            {"show", command::show},
                                                            {"accounts", command::accounts},
                                                            {"diff", command::diff},
                                                            {"history", command::history},
                                                            {"status", command::status},
                                                            {"drain", command::drain},
                                                            {"list", command::quarantine_list},
                                                            {"hold", command::quarantine_hold},
                                                            {"release", command::quarantine_release},
                                                            {"fence", command::fence},
                                                            {"explain", command::explain}};
    for (const auto& [name, value] : names) {
        if (is_set(arguments, name)) {
            return value;
        }
    }
    throw std::invalid_argument("no command");
}

std::string platform_of(const arguments_map& arguments) {
    const auto given = text_of(arguments, "--platform");
    if (!given.empty()) {
        return given;
    }
    const char* variable = std::getenv(platform_variable);
    return variable == nullptr ? std::string{} : std::string(variable);
}

bool needs_platform(const command_line& line) {
    const auto what = line.what;
    if (what == command::accounts) {
        return line.daemon.empty();
    }
    return what == command::submit || what == command::show || what == command::diff ||
           what == command::history || what == command::fence;
}

void check(const command_line& line) {
    if (needs_platform(line) && line.platform.empty()) {
        throw std::invalid_argument(std::string("--platform or ") + platform_variable + " is required");
    }
    if (line.what == command::explain && !core::parse_root_id(line.request)) {
        throw std::invalid_argument(
            "ID must be the 32 hexadecimal digits of Monsoonlift-Request-Id, found \"" + line.request + "\"");
    }
    if (!line.submission.empty() && !line.base_revision) {
        throw std::invalid_argument("--submission requires the --base that it was sent with");
    }
}

command_line read(const arguments_map& arguments) {
    command_line line;
    line.what = command_of(arguments);
    line.file = text_of(arguments, "FILE");
    line.request = text_of(arguments, "REQUEST") + text_of(arguments, "ID");
    line.logs = list_of(arguments, "LOG");
    line.address = text_of(arguments, "ADDRESS");
    line.service = text_of(arguments, "--service");
    line.who = text_of(arguments, "--as");
    line.message = text_of(arguments, "--message");
    line.submission = text_of(arguments, "--submission");
    line.daemon = text_of(arguments, "--daemon");
    line.token_file = text_of(arguments, "--token-file");
    line.platform = platform_of(arguments);
    line.limit = number_of(arguments, "--limit");
    line.patience = std::chrono::seconds(number_of(arguments, "--patience"));
    if (!text_of(arguments, "--base").empty()) {
        line.base_revision = number_of(arguments, "--base");
    }
    if (line.logs.empty()) {
        line.logs.emplace_back("-");
    }
    line.with_digests = is_set(arguments, "--with-digests");
    const auto output = text_of(arguments, "--output");
    if (output != "text" && output != "json") {
        throw std::invalid_argument("--output must be text or json");
    }
    line.json = output == "json";
    check(line);
    return line;
}

} // namespace

std::variant<command_line, early_exit> parse_command_line(const std::vector<std::string>& arguments) {
    try {
        return read(docopt::docopt_parse(usage, arguments, true));
    } catch (const docopt::DocoptExitHelp&) {
        return early_exit{usage, false};
    } catch (const docopt::DocoptArgumentError&) {
        return early_exit{usage, true};
    } catch (const std::exception& wrong) {
        return early_exit{std::string("monsoonctl: ") + wrong.what() + "\n", true};
    }
}

} // namespace monsoonlift::monsoonctl
