#pragma once

#include <chrono>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/tests/standin_thread.h"

namespace monsoonlift::monsoonctl::tests {

/// What the tests of commands need: a platform, a session with it, and what is printed.
struct operator_desk {
    standin_thread platform;
    control_session session{platform.address()};
    std::ostringstream out;
    console answers{out, out, true};

    /// Switches faults of the platform on or off.
    void set_faults(const std::string& faults) {
        const auto answer = session.wait<store::http_reply>([&](auto done) {
            session.http().send(platform.address(), {"POST", "/faults", faults, {}}, std::chrono::seconds(5),
                                std::move(done));
        });
        REQUIRE(answer.value);
    }
};

} // namespace monsoonlift::monsoonctl::tests
