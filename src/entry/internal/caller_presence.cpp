#include "entry/caller_presence.h"

#include <cerrno>

namespace monsoonlift::entry {

namespace {

bool says_nothing_about_connection(int error) {
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

} // namespace

caller_presence presence_from_peek(std::int64_t received, int error) {
    if (received > 0) {
        return caller_presence::sends_more;
    }
    if (received < 0 && says_nothing_about_connection(error)) {
        return caller_presence::unknown;
    }
    return caller_presence::gone;
}

} // namespace monsoonlift::entry
