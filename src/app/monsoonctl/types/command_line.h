#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::monsoonctl {

/// The commands of monsoonctl.
enum class command {
    validate,
    submit,
    show,
    accounts,
    diff,
    history,
    status,
    drain,
    quarantine_list,
    quarantine_hold,
    quarantine_release,
    fence,
    explain
};

/// A parsed and validated command line.
struct command_line {
    command what = command::validate;
    std::string file;
    std::string who;
    std::string message;
    std::string submission;
    std::optional<std::uint64_t> base_revision;
    std::size_t limit = 20;
    std::string daemon;
    std::string token_file;
    std::string request; ///< Fingerprint as the quarantine list prints it; for `explain`, the request's id.
    std::vector<std::string> logs; ///< Files to read; "-" is standard input.
    std::string address;           ///< Transport address of a gate.
    std::string service;
    std::string platform;
    bool json = false;
    bool with_digests = false; ///< `show` prints the digests of API keys too.
    std::chrono::milliseconds patience{10'000};
};

} // namespace monsoonlift::monsoonctl
