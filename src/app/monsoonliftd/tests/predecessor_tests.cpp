// Guards against daemons that stop by themselves because the time of day was set back between two starts.
#include "app/monsoonliftd/daemon.h"
#include "testing/silent_log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <functional>
#include <thread>

using namespace monsoonlift;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds longest_wait = 30s;
constexpr char fleet[] = "predecessors";
constexpr char name[] = "vm-1";

/// A free address of this VM.
std::string free_address() {
    boost::asio::io_context io;
    const tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// Members of the fleet that are no complete daemons, on a thread of their own.
class bare_members {
public:
    bare_members() : m_thread([this] { m_io.run(); }) {}
    bare_members(const bare_members&) = delete;
    bare_members& operator=(const bare_members&) = delete;

    ~bare_members() {
        for (const auto& service : m_services) {
            service->stop();
        }
        m_work.reset();
        m_io.stop();
        m_thread.join();
    }

    membership::membership_service& start(const std::string& address, const std::string& member_name,
                                          core::incarnation life, std::vector<std::string> seeds) {
        membership::membership_options options;
        options.fleet = fleet;
        options.self.id = {address, life};
        options.self.membership_address = "127.0.0.1:0";
        options.self.admin_address = "127.0.0.1:1";
        options.self.name = member_name;
        options.seed_peers = std::move(seeds);
        m_directories.push_back(std::make_unique<membership::member_directory>());
        m_services.push_back(std::make_unique<membership::membership_service>(
            m_io.get_executor(), m_clock, *m_directories.back(), m_log, nullptr, options,
            membership::membership_hooks{}));
        REQUIRE(m_services.back()->start());
        return *m_services.back();
    }

    /// Waits until the first member knows an incarnation at `address` that `wanted` accepts.
    bool waits_for(const std::string& address, const std::function<bool(core::incarnation)>& wanted) {
        const auto end = std::chrono::steady_clock::now() + longest_wait;
        while (std::chrono::steady_clock::now() < end) {
            const auto known = m_directories.front()->find(address);
            if (known && membership::is_present(*known) && wanted(known->id.life)) {
                return true;
            }
            std::this_thread::yield();
        }
        return false;
    }

private:
    core::system_clock m_clock;
    testing::silent_log m_log;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work{m_io.get_executor()};
    std::vector<std::unique_ptr<membership::member_directory>> m_directories;
    std::vector<std::unique_ptr<membership::membership_service>> m_services;
    std::thread m_thread;
};

settings::daemon_settings settings_of(const std::string& address, const std::string& seed) {
    settings::daemon_settings chosen;
    chosen.fleet = fleet;
    chosen.name = name;
    chosen.data_centre = "palermo";
    chosen.caller_address = "127.0.0.1:0";
    chosen.admin_address = "127.0.0.1:0";
    chosen.transport_address = address;
    chosen.membership_address = "127.0.0.1:0";
    chosen.platform_address = "127.0.0.1:1";
    chosen.seed_peers = {seed};
    chosen.workers = 1;
    return chosen;
}

/// Asks the daemon that runs in this process to stop if it is still there after the longest wait.
class stop_later {
public:
    stop_later()
        : m_thread([this] {
              const auto end = std::chrono::steady_clock::now() + longest_wait;
              while (!m_ended && std::chrono::steady_clock::now() < end) {
                  std::this_thread::yield();
              }
              if (!m_ended) {
                  std::raise(SIGTERM);
              }
          }) {}
    stop_later(const stop_later&) = delete;
    stop_later& operator=(const stop_later&) = delete;

    ~stop_later() {
        m_ended = true;
        m_thread.join();
    }

private:
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a daemon stops because its predecessor's incarnation is later by the time of day",
          "[predecessor]") {
    testing::silent_log log;
    bare_members members;
    const auto address = free_address();
    const core::incarnation predecessor = core::make_incarnation(core::wall_time::clock::now() + 1h, 0);
    const auto seed = members.start("127.0.0.1:2", "vm-2", {1}, {}).bound_address();
    auto& earlier = members.start(address, name, predecessor, {seed});
    REQUIRE(members.waits_for(address, [&](core::incarnation life) { return life == predecessor; }));
    earlier.stop();
    const auto read_nothing = [] {
        return std::nullopt;
    };
    std::optional<core::incarnation> found;
    {
        const stop_later limit;
        app::daemon process(settings_of(address, seed), read_nothing, log);
        process.start();
        found = process.run();
    }
    REQUIRE(found == predecessor);
    app::daemon successor(settings_of(address, seed), read_nothing, log, *found);
    successor.start();
    std::optional<core::incarnation> found_by_successor;
    std::thread runner([&] { found_by_successor = successor.run(); });
    CHECK(members.waits_for(address, [&](core::incarnation life) { return life > predecessor; }));
    std::raise(SIGTERM);
    runner.join();
    CHECK_FALSE(found_by_successor);
}
