#include "transfer/async_queue.h"
#include "transfer/credit_gate.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::transfer;

namespace {

boost::asio::awaitable<void> take(credit_gate& gate, std::vector<bool>& taken, core::steady_time deadline) {
    const bool allowed = co_await gate.take(deadline);
    taken.push_back(allowed);
}

boost::asio::awaitable<void> read(async_queue<int>& queue, std::vector<std::optional<int>>& seen,
                                  core::steady_time deadline) {
    const auto item = co_await queue.next(deadline);
    seen.push_back(item);
}

} // namespace

TEST_CASE("a sender waits for credit and stops waiting at the deadline or on close", "[transfer]") {
    boost::asio::io_context io;
    credit_gate gate(io.get_executor());
    std::vector<bool> taken;
    boost::asio::co_spawn(io, take(gate, taken, core::steady_time::max()), boost::asio::detached);
    io.poll();
    REQUIRE(taken.empty());
    gate.grant(1);
    io.restart();
    io.run();
    REQUIRE(taken == std::vector<bool>{true});
    boost::asio::co_spawn(io, take(gate, taken, core::steady_time()), boost::asio::detached);
    io.restart();
    io.run();
    REQUIRE(taken == std::vector<bool>{true, false});
    gate.grant(1);
    gate.close();
    boost::asio::co_spawn(io, take(gate, taken, core::steady_time::max()), boost::asio::detached);
    io.restart();
    io.run();
    REQUIRE(taken == std::vector<bool>{true, false, false});
}

TEST_CASE("a closed queue ignores new items and returns the queued ones before it ends", "[transfer]") {
    boost::asio::io_context io;
    async_queue<int> queue(io.get_executor());
    std::vector<std::optional<int>> seen;
    boost::asio::co_spawn(io, read(queue, seen, core::steady_time::max()), boost::asio::detached);
    io.poll();
    REQUIRE(seen.empty());
    queue.push(1);
    queue.push(2);
    io.restart();
    io.run();
    queue.close();
    queue.push(3);
    for (int index = 0; index < 2; ++index) {
        boost::asio::co_spawn(io, read(queue, seen, core::steady_time::max()), boost::asio::detached);
        io.restart();
        io.run();
    }
    REQUIRE(seen == std::vector<std::optional<int>>{1, 2, std::nullopt});
}
