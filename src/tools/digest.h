#pragma once

#include <memory>
#include <span>
#include <string>

namespace monsoonlift::tools {

/// SHA-256 of a stream of bytes.
class digest {
public:
    digest();
    digest(const digest&) = delete;
    digest& operator=(const digest&) = delete;
    ~digest();

    /// Adds the next bytes of the stream.
    void update(std::span<const char> bytes);

    /// 64 lower-case hexadecimal digits; ends the stream.
    [[nodiscard]] std::string finish();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// SHA-256 of `bytes` in one step.
[[nodiscard]] std::string digest_of(std::span<const char> bytes);

} // namespace monsoonlift::tools
