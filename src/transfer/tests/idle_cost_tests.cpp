#include "testing/allocation_count.h"
#include "transfer/async_queue.h"
#include "transfer/body_room.h"
#include "transfer/credit_gate.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::transfer;

TEST_CASE("a queue or credit gate that no call uses allocates nothing", "[transfer]") {
    boost::asio::io_context io;
    const boost::asio::any_io_executor strand = io.get_executor();
    const auto before = testing::allocations;
    {
        async_queue<int> queue(strand);
        credit_gate gate(strand);
        queue.close();
        gate.grant(1);
        gate.close();
    }
    REQUIRE(testing::allocations - before == 0);
}

TEST_CASE("a body of a stated length is given no more room than it needs", "[transfer]") {
    REQUIRE(room_for(300, 16384) == 300);
    REQUIRE(room_for(16384, 16384) == 16384);
    REQUIRE(room_for(1'000'000'000'000, 16384) == 16384);
    REQUIRE(room_for(boost::none, 16384) == 16384);
}
