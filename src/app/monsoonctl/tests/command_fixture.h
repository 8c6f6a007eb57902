#pragma once

#include <chrono>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/tests/standin_thread.h"

namespace monsoonlift::monsoonctl::tests {

/// Fixture for tests of commands: a platform stand-in, a session with it, and the printed output.
struct command_fixture {
    standin_thread platform;
    control_session session{platform.address()};
    std::ostringstream out;
    console printer{out, out, true};

    /// Replaces the faults that the platform stand-in injects.
    void set_faults(const std::string& faults) {
        const auto answer = session.wait<store::http_reply>([&](auto done) {
            session.http().send(platform.address(), {"POST", "/faults", faults, {}}, std::chrono::seconds(5),
                                std::move(done));
        });
        REQUIRE(answer.value);
    }
};

} // namespace monsoonlift::monsoonctl::tests
