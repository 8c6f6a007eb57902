#pragma once

#include <span>
#include <string>

namespace monsoonlift::tools::internal {

/// Exits the process when a stream of bytes contains a marker text: simulates a request that crashes its
/// backend server.
class crash_trigger {
public:
    /// An empty marker never matches.
    explicit crash_trigger(std::string marker);

    /// Scans the next bytes of the stream; also finds a marker that began in earlier bytes.
    void scan(std::span<const char> bytes);

private:
    std::string m_marker;
    std::string m_tail;
};

} // namespace monsoonlift::tools::internal
