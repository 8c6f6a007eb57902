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

/// Faults to inject; a share is the probability for each frame that the fault applies to.
struct frame_faults {
    bool requests = false;    ///< Faults apply to frames from entries to gates.
    bool answers = false;     ///< Faults apply to frames from gates to entries.
    bool heads_only = false;  ///< Faults apply only to the first frame of a request.
    double doubled = 0;       ///< Share of frames sent twice, the copy at once or late.
    double late = 0;          ///< Share of frames delayed, so that others overtake them.
    double swapped = 0;       ///< Share of frames held until the sender's next frame is sent.
    double crossed = 0;       ///< Share copied to the other daemon, still addressed to the right one.
    double misdirected = 0;   ///< Share copied and addressed to the other daemon; only what may run twice.
    bool copies_held = false; ///< Duplicates are held until release().
    std::uint32_t damaged_attempts = 0; ///< Number of first attempts of each call with a damaged body.
    std::chrono::milliseconds shortest_delay{0};
    std::chrono::milliseconds longest_delay{20};
};

/// Forwards frames to a real sender and injects faults: duplicates, delays, swaps, wrong daemons and damaged
/// bodies. Used on one thread only.
class faulty_frame_sender final : public transport::frame_sender {
public:
    faulty_frame_sender(boost::asio::any_io_executor executor, transport::frame_sender& inner,
                        const frame_faults& faults, std::uint64_t seed);

    /// Sets the two daemons; a crossed frame goes to the one that it is not addressed to.
    void set_daemons(std::vector<core::endpoint_id> daemons) { m_daemons = std::move(daemons); }

    void send(const core::endpoint_id& to, transport::frame message) override;
    [[nodiscard]] core::endpoint_id self() const override { return m_inner.self(); }

    /// Drops every frame from now on, as if the daemon's links were silent.
    void mute() { m_is_mute = true; }

    /// Makes a send throw: the `frame`-th from now on, counted from 1.
    void fail_send(std::uint64_t frame) { m_send_to_fail = frame; }

    /// Whether a send has thrown.
    [[nodiscard]] bool has_failed_send() const { return m_has_failed_send; }

    /// Sends the held duplicates.
    void release();

    /// Number of frames still to be sent, without the duplicates held for release().
    [[nodiscard]] std::size_t pending() const { return m_pending; }

    /// Number of frames forwarded.
    [[nodiscard]] std::uint64_t passed() const { return m_passed; }

    /// Number of faults injected.
    [[nodiscard]] std::uint64_t injected() const { return m_injected; }

    /// Addresses of the daemons that the entry chose for a request target.
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
    bool m_is_mute = false;
    std::uint64_t m_send_to_fail = 0;
    bool m_has_failed_send = false;
    std::size_t m_pending = 0;
    std::uint64_t m_passed = 0;
    std::uint64_t m_injected = 0;
};

} // namespace monsoonlift::entry::testing
