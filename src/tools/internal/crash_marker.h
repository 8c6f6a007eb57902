#pragma once

#include <span>
#include <string>

namespace monsoonlift::tools::internal {

/// Ends the process when a marker is met in a stream of bytes: the fault of a request that crashes its
/// server.
class crash_marker {
public:
    /// An empty marker is never met.
    explicit crash_marker(std::string marker);

    /// Looks at the next bytes, and over the border to those before.
    void look_at(std::span<const char> bytes);

private:
    std::string m_marker;
    std::string m_tail;
};

} // namespace monsoonlift::tools::internal
