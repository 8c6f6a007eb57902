// Guards against calls that are cancelled, and connections that are reset, though the caller is there.
#include "entry/caller_presence.h"

#include <catch2/catch.hpp>

#include <cerrno>
#include <cstdint>

using namespace monsoonlift::entry;

TEST_CASE("an error of a look at a connection is taken for a caller that left", "[caller_presence]") {
    struct look {
        std::int64_t received;
        int error;
        caller_presence presence;
    };
    const look looks[] = {
        {-1, EAGAIN, caller_presence::unknown},    {-1, EWOULDBLOCK, caller_presence::unknown},
        {-1, EINTR, caller_presence::unknown},     {-1, ENOBUFS, caller_presence::unknown},
        {-1, ENOMEM, caller_presence::unknown},    {0, 0, caller_presence::gone},
        {0, EINTR, caller_presence::gone},         {-1, ECONNRESET, caller_presence::gone},
        {-1, ETIMEDOUT, caller_presence::gone},    {-1, EPIPE, caller_presence::gone},
        {-1, EHOSTUNREACH, caller_presence::gone}, {-1, EBADF, caller_presence::gone},
        {1, 0, caller_presence::sends_more},       {1, EINTR, caller_presence::sends_more},
    };
    for (const auto& look : looks) {
        CAPTURE(look.received, look.error);
        CHECK(presence_from_peek(look.received, look.error) == look.presence);
    }
}
