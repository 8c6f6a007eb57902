// Guards against one handler's exception that ends the process with all its calls (LOST).
#include "network/run_handlers.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>
#include <string>
#include <vector>

using namespace monsoonlift::network;

TEST_CASE("handlers run though others on their strand and elsewhere fail", "[run_handlers]") {
    boost::asio::io_context io;
    const auto strand = boost::asio::make_strand(io);
    std::vector<std::string> failures;
    int ran = 0;
    for (int index = 0; index < 3; ++index) {
        boost::asio::post(strand, [] { throw std::runtime_error("on a strand"); });
        boost::asio::post(strand, [&] { ++ran; });
        boost::asio::post(io, [] { throw std::runtime_error("elsewhere"); });
        boost::asio::post(io, [&] { ++ran; });
    }
    boost::asio::steady_timer timer(strand, boost::asio::steady_timer::time_point::min());
    timer.async_wait([&](const boost::system::error_code&) { ++ran; });
    run_handlers(io, [&](const std::string& why) { failures.push_back(why); });
    CHECK(ran == 7);
    CHECK(failures.size() == 6);
}

TEST_CASE("a stopped context ends the run", "[run_handlers]") {
    boost::asio::io_context io;
    bool ran = false;
    boost::asio::post(io, [&] {
        io.stop();
        throw std::runtime_error("after the stop");
    });
    boost::asio::post(io, [&] { ran = true; });
    run_handlers(io, [](const std::string&) {});
    CHECK_FALSE(ran);
}
