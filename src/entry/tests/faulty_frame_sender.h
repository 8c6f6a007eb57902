#pragma once

#include "transport/frame_sender.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::entry::testing {

/// What goes wrong with frames, as shares of those that it applies to.
struct frame_faults {
    bool requests = false;              ///< Frames of entries for gates.
    bool answers = false;               ///< Frames of gates for entries.
    bool heads_only = false;            ///< Of the requests only their first frame.
    double doubled = 0;                 ///< Sent once more, at once or late.
    double late = 0;                    ///< Sent late, so that others overtake it.
    double swapped = 0;                 ///< Held back until the sender's next frame has gone.
    double crossed = 0;                 ///< A copy goes to the other daemon, still marked for the right one.
    double misdirected = 0;             ///< A copy goes to the other daemon and is marked for it.
    bool copies_held = false;           ///< Second copies wait for release().
    std::uint32_t damaged_attempts = 0; ///< The first attempts of each call whose body is damaged on its way.
    std::chrono::milliseconds shortest_delay{0};
    std::chrono::milliseconds longest_delay{20};
};

/// Passes frames on to a real sender, some of them doubled, late, swapped or to the wrong daemon. Everything
/// happens on one thread.
class faulty_frame_sender final : public transport::frame_sender {
public:
    faulty_frame_sender(boost::asio::any_io_executor executor, transport::frame_sender& inner,
                        const frame_faults& faults, std::uint64_t seed);

    /// The two daemons; a crossed frame reaches the one that it is not for.
    void set_daemons(std::vector<core::endpoint_id> daemons) { m_daemons = std::move(daemons); }

    void send(const core::endpoint_id& to, transport::frame message) override;
    [[nodiscard]] core::endpoint_id self() const override { return m_inner.self(); }

    /// Sends the copies that were held.
    void release();

    /// Frames that are still to be sent, but for held copies.
    [[nodiscard]] std::size_t pending() const { return m_pending; }

    /// Frames passed on.
    [[nodiscard]] std::uint64_t passed() const { return m_passed; }

    /// Faults brought about.
    [[nodiscard]] std::uint64_t injected() const { return m_injected; }

    /// The daemons that the entry itself chose for a request target.
    [[nodiscard]] std::set<std::string> chosen_for(const std::string& target) const;

private:
    struct addressed_frame {
        core::endpoint_id to;
        transport::frame message;
    };

    [[nodiscard]] bool applies_to(const transport::frame& message) const;
    [[nodiscard]] bool draw(double share);
    [[nodiscard]] std::chrono::milliseconds draw_delay();
    [[nodiscard]] const core::endpoint_id& wrong_daemon(const core::endpoint_id& right) const;
    void remember_choice(const core::endpoint_id& to, const transport::frame& message);
    void damage(transport::frame& message);
    void send_copies(const core::endpoint_id& to, const transport::frame& message);
    void send_swapped(addressed_frame next);
    void hold(addressed_frame next);
    void send_later(addressed_frame late);
    void pass(addressed_frame next);

    boost::asio::any_io_executor m_executor;
    transport::frame_sender& m_inner;
    const frame_faults m_faults;
    std::mt19937_64 m_random;
    std::vector<core::endpoint_id> m_daemons;
    std::optional<addressed_frame> m_held;
    std::uint64_t m_holds = 0;
    std::vector<addressed_frame> m_held_copies;
    std::map<std::string, std::set<std::string>> m_chosen;
    std::size_t m_pending = 0;
    std::uint64_t m_passed = 0;
    std::uint64_t m_injected = 0;
};

} // namespace monsoonlift::entry::testing
