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

    /// Returns the hash as 64 lower-case hexadecimal digits. Call it once, after the last update().
    [[nodiscard]] std::string finish();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// Returns the SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string digest_of(std::span<const char> bytes);

} // namespace monsoonlift::tools
