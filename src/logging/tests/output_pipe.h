#pragma once

#include <array>
#include <string>

#include <unistd.h>

#include <catch2/catch.hpp>

namespace monsoonlift::logging::tests {

/// A pipe from which nothing is read until a test reads a line.
class output_pipe {
public:
    output_pipe() { REQUIRE(::pipe(m_ends.data()) == 0); }
    ~output_pipe() {
        close_reader();
        ::close(m_ends[1]);
    }
    output_pipe(const output_pipe&) = delete;
    output_pipe& operator=(const output_pipe&) = delete;

    [[nodiscard]] int writer() const { return m_ends[1]; }

    void close_reader() {
        if (m_ends[0] >= 0) {
            ::close(m_ends[0]);
            m_ends[0] = -1;
        }
    }

    /// Waits for a complete line and returns it without its newline.
    std::string read_line() {
        while (m_read.find('\n') == std::string::npos) {
            std::array<char, 4096> bytes{};
            const auto got = ::read(m_ends[0], bytes.data(), bytes.size());
            REQUIRE(got > 0);
            m_read.append(bytes.data(), static_cast<std::size_t>(got));
        }
        const auto end = m_read.find('\n');
        auto line = m_read.substr(0, end);
        m_read.erase(0, end + 1);
        return line;
    }

private:
    std::array<int, 2> m_ends{-1, -1};
    std::string m_read;
};

} // namespace monsoonlift::logging::tests
