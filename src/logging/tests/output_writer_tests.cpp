#include "logging/output_writer.h"

#include "logging/tests/output_pipe.h"

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

using monsoonlift::logging::output_writer;
using monsoonlift::logging::tests::output_pipe;

namespace {

constexpr std::size_t capacity = 64;

/// Longer than the buffer of a pipe.
constexpr std::size_t long_line_bytes = 100'000;

} // namespace

TEST_CASE("lines arrive complete and in order, even if they are longer than the pipe's buffer",
          "[events][threads]") {
    output_pipe pipe;
    output_writer writer(pipe.writer(), capacity, [] {});
    REQUIRE(writer.push("first"));
    REQUIRE(writer.push(std::string(long_line_bytes, 'x')));
    REQUIRE(writer.push("last"));
    CHECK(pipe.read_line() == "first");
    CHECK(pipe.read_line() == std::string(long_line_bytes, 'x'));
    CHECK(pipe.read_line() == "last");
}

TEST_CASE("with a stalled reader, lines are refused and neither push nor the destructor blocks",
          "[events][threads]") {
    output_pipe pipe;
    std::size_t taken = 0;
    {
        output_writer writer(pipe.writer(), capacity, [] {});
        while (writer.push(std::string(long_line_bytes, 'x'))) {
            ++taken;
            REQUIRE(taken <= 2 * capacity);
        }
        CHECK_FALSE(writer.has_room(0));
    }
    // NOTE: reaching this line shows that the writer's destructor did not wait for the reader either.
    CHECK(taken >= capacity);
}

TEST_CASE("lines are accepted again once the reader resumes", "[events][threads]") {
    output_pipe pipe;
    output_writer writer(pipe.writer(), capacity, [] {});
    std::size_t taken = 0;
    while (writer.push(std::string(long_line_bytes, 'x'))) {
        ++taken;
    }
    for (std::size_t line = 0; line < taken; ++line) {
        REQUIRE(pipe.read_line().size() == long_line_bytes);
    }
    REQUIRE(writer.push("again"));
    CHECK(pipe.read_line() == "again");
}

TEST_CASE("a reader that closes its end stops the writer, not the process", "[events][threads]") {
    output_pipe pipe;
    output_writer writer(pipe.writer(), capacity, [] {});
    pipe.close_reader();
    REQUIRE(writer.push("nobody reads this"));
    while (!writer.is_reader_gone()) {
        std::this_thread::yield();
    }
    CHECK_FALSE(writer.push("nor this"));
    CHECK_FALSE(writer.has_room(0));
}

TEST_CASE("a report that fails on the writer's thread ends neither the process nor the log",
          "[events][threads][contain]") {
    output_pipe pipe;
    std::atomic<int> reports = 0;
    output_writer writer(pipe.writer(), capacity, [&] {
        if (++reports == 1) {
            throw std::runtime_error("no memory left");
        }
    });
    while (reports < 2) {
        std::this_thread::yield();
    }
    REQUIRE(writer.push("later"));
    CHECK(pipe.read_line() == "later");
    CHECK(writer.failures() == 1);
}
