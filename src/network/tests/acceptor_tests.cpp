#include "network/acceptor.h"

#include "store/testing/manual_scheduler.h"
#include "testing/manual_clock.h"

#include <boost/asio/error.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::network;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;

/// A source whose accepts end when and how a test says; like a real one it fails them once it is closed.
class scripted_source final : public connection_source {
public:
    explicit scripted_source(boost::asio::io_context& io) : m_io(io) {}

    void accept(accepted_handler done) override {
        ++asked;
        m_waiting = std::move(done);
        if (closed) {
            end(boost::asio::error::bad_descriptor);
        }
    }

    void close() override {
        ++closed;
        if (m_waiting) {
            end(boost::asio::error::operation_aborted);
        }
    }

    /// Ends the accept that is under way.
    void end(const boost::system::error_code& failure) {
        auto done = std::exchange(m_waiting, nullptr);
        REQUIRE(done);
        done(failure, tcp::socket(m_io));
    }

    [[nodiscard]] bool is_waiting() const { return static_cast<bool>(m_waiting); }

    int asked = 0;
    int closed = 0;

private:
    boost::asio::io_context& m_io;
    accepted_handler m_waiting;
};

struct told_failure {
    std::string why;
    std::uint64_t left_out;

    bool operator==(const told_failure&) const = default;
};

struct accepting {
    accepting() { under_test->start(handlers()); }

    acceptor_handlers handlers() {
        return {[this](const tcp::socket&) { ++accepted; },
                [this](const std::string& why, std::uint64_t left_out) {
                    told.push_back({why, left_out});
                }};
    }

    void fail() { source->end(none_left); }

    const boost::system::error_code none_left = boost::asio::error::no_descriptors;
    boost::asio::io_context io;
    testing::manual_clock clock;
    std::shared_ptr<scripted_source> source = std::make_shared<scripted_source>(io);
    std::shared_ptr<store::testing::manual_scheduler> scheduler =
        std::make_shared<store::testing::manual_scheduler>(clock);
    int accepted = 0;
    std::vector<told_failure> told;
    std::shared_ptr<acceptor> under_test = std::make_shared<acceptor>(source, scheduler, clock);
};

} // namespace

TEST_CASE("the next connection is awaited at once after one was accepted", "[acceptor]") {
    accepting loop;
    for (int number = 1; number <= 3; ++number) {
        CHECK(loop.source->asked == number);
        loop.source->end({});
        CHECK(loop.accepted == number);
    }
    CHECK(loop.source->is_waiting());
    CHECK(loop.told.empty());
}

TEST_CASE("after each failure accepting waits, and goes on once it works again", "[acceptor]") {
    accepting loop;
    constexpr int failures = 5;
    for (int number = 1; number <= failures; ++number) {
        CHECK(loop.source->asked == number);
        loop.fail();
        loop.scheduler->run_for(acceptor::pause - 1ns);
        CHECK(loop.source->asked == number);
        loop.scheduler->run_for(1ns);
    }
    CHECK(loop.accepted == 0);
    loop.source->end({});
    CHECK(loop.accepted == 1);
    CHECK(loop.source->asked == failures + 2);
}

TEST_CASE("failures are told once in ten seconds with the number left out", "[acceptor]") {
    accepting loop;
    const auto why = loop.none_left.message();
    for (int number = 0; number < 4; ++number) {
        loop.fail();
        loop.scheduler->run_for(acceptor::pause);
    }
    CHECK(loop.told == std::vector<told_failure>{{why, 0}});
    loop.scheduler->run_for(10s);
    loop.fail();
    CHECK(loop.told == std::vector<told_failure>{{why, 0}, {why, 3}});
}

TEST_CASE("nothing is accepted, tried or told after a stop", "[acceptor]") {
    accepting loop;
    SECTION("while a connection is awaited") {
        loop.under_test->stop();
    }
    SECTION("within the pause after a failure") {
        loop.fail();
        loop.told.clear();
        loop.under_test->stop();
    }
    SECTION("twice") {
        loop.under_test->stop();
        loop.under_test->stop();
    }
    loop.scheduler->run_for(10s);
    CHECK(loop.source->closed == 1);
    CHECK(loop.source->asked == 1);
    CHECK(loop.accepted == 0);
    CHECK(loop.told.empty());
}

TEST_CASE("an acceptor that is gone is not kept by what waits", "[acceptor]") {
    accepting loop;
    SECTION("for a connection") {
        loop.under_test.reset();
        loop.source->end({});
    }
    SECTION("for the end of its pause") {
        loop.fail();
        loop.under_test.reset();
        loop.scheduler->run_for(acceptor::pause);
    }
    CHECK(loop.source->asked == 1);
    CHECK(loop.accepted == 0);
}

TEST_CASE("connections to a listening socket are handed over", "[acceptor]") {
    boost::asio::io_context io;
    testing::manual_clock clock;
    std::vector<tcp::socket> taken;
    std::uint64_t failures = 0;
    const auto listening = listen(io, {boost::asio::ip::address_v4::loopback(), 0}, clock);
    listening.connections->start({[&](tcp::socket socket) { taken.push_back(std::move(socket)); },
                                  [&](const std::string&, std::uint64_t) {
                                      ++failures;
                                  }});
    tcp::socket first(io);
    tcp::socket second(io);
    first.connect(listening.address);
    second.connect(listening.address);
    while (taken.size() < 2) {
        io.run_one();
    }
    listening.connections->stop();
    io.run();
    tcp::socket late(io);
    boost::system::error_code refused;
    late.connect(listening.address, refused);
    CHECK(refused == boost::asio::error::connection_refused);
    CHECK(taken.size() == 2);
    CHECK(failures == 0);
}
