#include "network/acceptor.h"

#include "store/testing/manual_scheduler.h"
#include "testing/manual_clock.h"

#include <boost/asio/error.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::network;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;

/// A source whose accepts complete when and how a test specifies; like a real one, it fails them once it is
/// close_calls.
class scripted_source final : public connection_source {
public:
    explicit scripted_source(boost::asio::io_context& io) : m_io(io) {}

    void accept(accepted_handler done) override {
        ++accept_calls;
        m_waiting = std::move(done);
        if (close_calls) {
            end(boost::asio::error::bad_descriptor);
        }
    }

    void close() override {
        ++close_calls;
        if (m_waiting) {
            end(boost::asio::error::operation_aborted);
        }
    }

    /// Completes the pending accept.
    void end(const boost::system::error_code& failure) {
        auto done = std::exchange(m_waiting, nullptr);
        REQUIRE(done);
        done(failure, tcp::socket(m_io));
    }

    [[nodiscard]] bool is_waiting() const { return static_cast<bool>(m_waiting); }

    int accept_calls = 0;
    int close_calls = 0;

private:
    boost::asio::io_context& m_io;
    accepted_handler m_waiting;
};

struct reported_failure {
    std::string why;
    std::uint64_t left_out;

    bool operator==(const reported_failure&) const = default;
};

struct acceptor_fixture {
    acceptor_fixture() { under_test->start(handlers()); }

    acceptor_handlers handlers() {
        return {[this](const tcp::socket&) {
                    ++accepted;
                    if (accepted == failing_connection) {
                        throw std::runtime_error("no memory left");
                    }
                },
                [this](const std::string& why, std::uint64_t left_out) {
                    if (failing_report) {
                        throw std::runtime_error("no memory left");
                    }
                    reported.push_back({why, left_out});
                },
                [this] {
                    return has_room;
                }};
    }

    void fail() { source->end(out_of_descriptors); }

    const boost::system::error_code out_of_descriptors = boost::asio::error::no_descriptors;
    boost::asio::io_context io;
    testing::manual_clock clock;
    std::shared_ptr<scripted_source> source = std::make_shared<scripted_source>(io);
    std::shared_ptr<store::testing::manual_scheduler> scheduler =
        std::make_shared<store::testing::manual_scheduler>(clock);
    int accepted = 0;
    int failing_connection = 0; ///< Number of the connection whose handler throws; 0 for none.
    bool failing_report = false;
    bool has_room = true;
    std::vector<reported_failure> reported;
    std::shared_ptr<acceptor> under_test = std::make_shared<acceptor>(source, scheduler, clock);
};

} // namespace

TEST_CASE("accepting stops or pauses after a connection was accepted", "[acceptor]") {
    acceptor_fixture loop;
    for (int number = 1; number <= 3; ++number) {
        CHECK(loop.source->accept_calls == number);
        loop.source->end({});
        CHECK(loop.accepted == number);
    }
    CHECK(loop.source->is_waiting());
    CHECK(loop.reported.empty());
}

TEST_CASE("accepting is retried without a pause after a failure, or not resumed", "[acceptor]") {
    acceptor_fixture loop;
    constexpr int failures = 5;
    for (int number = 1; number <= failures; ++number) {
        CHECK(loop.source->accept_calls == number);
        loop.fail();
        loop.scheduler->run_for(acceptor::pause - 1ns);
        CHECK(loop.source->accept_calls == number);
        loop.scheduler->run_for(1ns);
    }
    CHECK(loop.accepted == 0);
    loop.source->end({});
    CHECK(loop.accepted == 1);
    CHECK(loop.source->accept_calls == failures + 2);
}

TEST_CASE("nothing is accepted after a connection whose handler throws", "[acceptor]") {
    acceptor_fixture loop;
    loop.failing_connection = 2;
    loop.source->end({});
    CHECK_THROWS_WITH(loop.source->end({}), "no memory left");
    REQUIRE(loop.source->is_waiting());
    loop.source->end({});
    CHECK(loop.accepted == 3);
}

TEST_CASE("accepting ends with a failure whose report throws", "[acceptor]") {
    acceptor_fixture loop;
    loop.failing_report = true;
    CHECK_THROWS_WITH(loop.fail(), "no memory left");
    loop.scheduler->run_for(acceptor::pause);
    REQUIRE(loop.source->is_waiting());
    loop.source->end({});
    CHECK(loop.accepted == 1);
}

TEST_CASE("a connection is accepted without room for it, or never once there is room", "[acceptor]") {
    acceptor_fixture loop;
    loop.has_room = false;
    loop.source->end({});
    CHECK(loop.accepted == 1);
    CHECK(loop.source->accept_calls == 1);
    loop.scheduler->run_for(acceptor::pause);
    CHECK(loop.source->accept_calls == 1);
    CHECK(loop.reported.size() == 1);
    loop.has_room = true;
    loop.scheduler->run_for(acceptor::pause);
    CHECK(loop.source->accept_calls == 2);
    loop.source->end({});
    CHECK(loop.accepted == 2);
}

TEST_CASE("failures are reported more than once in ten seconds or with a wrong count", "[acceptor]") {
    acceptor_fixture loop;
    const auto why = loop.out_of_descriptors.message();
    for (int number = 0; number < 4; ++number) {
        loop.fail();
        loop.scheduler->run_for(acceptor::pause);
    }
    CHECK(loop.reported == std::vector<reported_failure>{{why, 0}});
    loop.scheduler->run_for(10s);
    loop.fail();
    CHECK(loop.reported == std::vector<reported_failure>{{why, 0}, {why, 3}});
}

TEST_CASE("connections are accepted, or failures reported, after a stop", "[acceptor]") {
    acceptor_fixture loop;
    SECTION("while an accept is pending") {
        loop.under_test->stop();
    }
    SECTION("during the pause after a failure") {
        loop.fail();
        loop.reported.clear();
        loop.under_test->stop();
    }
    SECTION("twice") {
        loop.under_test->stop();
        loop.under_test->stop();
    }
    loop.scheduler->run_for(10s);
    CHECK(loop.source->close_calls == 1);
    CHECK(loop.source->accept_calls == 1);
    CHECK(loop.accepted == 0);
    CHECK(loop.reported.empty());
}

TEST_CASE("a pending handler keeps a released acceptor alive", "[acceptor]") {
    acceptor_fixture loop;
    SECTION("the handler of an accept") {
        loop.under_test.reset();
        loop.source->end({});
    }
    SECTION("the timer of a pause after a failure") {
        loop.fail();
        loop.under_test.reset();
        loop.scheduler->run_for(acceptor::pause);
    }
    CHECK(loop.source->accept_calls == 1);
    CHECK(loop.accepted == 0);
}

TEST_CASE("connections to a listening socket are lost, or it stays open after a stop", "[acceptor]") {
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
