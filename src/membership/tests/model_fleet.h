#pragma once

#include "membership/message_codec.h"
#include "membership/swim.h"
#include "membership/swim_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoonlift::membership::testing {

/// Simulates members in virtual time and a network that delays and loses datagrams and counts their bytes.
class model_fleet {
public:
    struct node {
        swim_state state;
        bool running = true;
        std::uint64_t bytes = 0; ///< Sent and received, including IP and UDP headers.
    };

    model_fleet(std::size_t size, std::uint64_t seed) : m_random(seed) {
        for (std::size_t index = 0; index < size; ++index) {
            m_nodes.push_back({make_swim(record(index), {}, {}, seed + index, m_now)});
        }
    }

    /// Enters every member in the table of every other.
    void introduce_all() { introduce(m_nodes.size()); }

    /// Enters each of the first `count` members in the tables of the others of them; the rest don't run.
    void introduce(std::size_t count) {
        for (std::size_t index = count; index < m_nodes.size(); ++index) {
            m_nodes[index].running = false;
        }
        for (std::size_t index = 0; index < count; ++index) {
            swim_state& state = m_nodes[index].state;
            state.join.joined = true;
            for (std::size_t other = 0; other < count; ++other) {
                merge(state, record(other), m_now);
            }
            for (auto& [address, tracked] : state.members) {
                tracked.sends_left = 0;
            }
            state.unsent.clear();
            state.changed.clear();
        }
    }

    static std::string address(std::size_t index) {
        return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
    }

    static std::string membership_address(std::size_t index) {
        return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7001";
    }

    static member record(std::size_t index, std::uint64_t life = 1'700'000'000'000'000'000) {
        member one;
        one.id = {address(index), {life + index}};
        one.membership_address = membership_address(index);
        one.admin_address =
            "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7002";
        one.name = "vm-" + std::to_string(index);
        one.data_centre = "shymkent-a";
        one.service = "service-" + std::to_string(index % 74);
        return one;
    }

    node& at(std::size_t index) { return m_nodes[index]; }
    std::size_t size() const { return m_nodes.size(); }
    core::steady_time now() const { return m_now; }

    void send(std::size_t from, const std::vector<outgoing_message>& messages) {
        for (const outgoing_message& one : messages) {
            const std::string datagram = encode(one.message);
            largest_datagram = std::max(largest_datagram, datagram.size());
            m_nodes[from].bytes += datagram.size() + header_bytes;
            const auto receiver = index_of(one.address);
            const bool dropped =
                receiver < m_nodes.size() && is_partitioned && is_partitioned(from, receiver);
            const double chance =
                loss_by_link && receiver < m_nodes.size() ? loss_by_link(from, receiver) : loss;
            if (receiver >= m_nodes.size() || dropped || m_uniform(m_random) < chance) {
                continue;
            }
            std::uniform_int_distribution<int> delay(1, 9);
            const auto extra_delay = latency ? latency(from, receiver) : std::chrono::microseconds(0);
            m_in_flight.emplace(m_now + std::chrono::milliseconds(delay(m_random)) + extra_delay,
                                flight{from, receiver, datagram, one.message});
        }
    }

    /// Runs until `done` returns true, at most for `span`; returns whether it did.
    bool run(std::chrono::milliseconds span, const std::function<bool()>& done = nullptr) {
        const auto end = m_now + span;
        while (m_now < end) {
            if (done && done()) {
                return true;
            }
            step();
        }
        return done && done();
    }

    /// Advances the clock without sending, losing or timing out anything; waiting acks and suspicions are
    /// shifted.
    void skip(std::chrono::seconds span) {
        m_now += span;
        for (node& one : m_nodes) {
            swim_state& state = one.state;
            state.last_tick += span;
            if (state.awaited) {
                state.awaited->sent += span;
            }
            for (const std::string& address : state.suspects) {
                state.members.at(address).since += span;
            }
        }
    }

    /// Restarts member `index` at its address with a later incarnation and one seed peer.
    void restart(std::size_t index, std::size_t seed_peer) {
        member self = record(index, m_nodes[index].state.self.id.life.value + 1'000'000);
        m_nodes[index].state = make_swim(self, {}, {membership_address(seed_peer)}, index * 31 + 7, m_now);
        m_nodes[index].running = true;
    }

    /// Counts the running members other than `subject` whose record of it satisfies `condition`.
    std::size_t count_matching(std::size_t subject,
                               const std::function<bool(const member&)>& condition) const {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (index == subject || !m_nodes[index].running) {
                continue;
            }
            const auto found = m_nodes[index].state.members.find(address(subject));
            if (found != m_nodes[index].state.members.end() && condition(found->second.value)) {
                ++count;
            }
        }
        return count;
    }

    /// Returns the index of the member at a membership address, or the number of members if there is none.
    std::size_t index_of(const std::string& membership) const {
        if (m_index.empty()) {
            for (std::size_t index = 0; index < m_nodes.size(); ++index) {
                m_index[membership_address(index)] = index;
            }
        }
        const auto found = m_index.find(membership);
        return found == m_index.end() ? m_nodes.size() : found->second;
    }

    double loss = 0; ///< Probability that a datagram is lost.
    std::function<double(std::size_t from, std::size_t to)>
        loss_by_link;          ///< Per-link probability of loss; replaces `loss`.
    bool through_codec = true; ///< False delivers the original messages undecoded; they are the same.
    /// True for partitioned links, which drop all datagrams.
    std::function<bool(std::size_t from, std::size_t to)> is_partitioned;
    /// Delay in addition to the 1 to 9 ms of every datagram.
    std::function<std::chrono::microseconds(std::size_t from, std::size_t to)> latency;
    std::size_t largest_datagram = 0;

private:
    struct flight {
        std::size_t from = 0;
        std::size_t to = 0;
        std::string datagram;
        swim_message message;
    };

    static constexpr std::size_t header_bytes = 28;
    static constexpr std::chrono::milliseconds step_length{100};

    void step() {
        const auto until = m_now + step_length;
        while (!m_in_flight.empty() && m_in_flight.begin()->first <= until) {
            const auto arrived = m_in_flight.begin()->first;
            const flight one = std::move(m_in_flight.begin()->second);
            m_in_flight.erase(m_in_flight.begin());
            m_now = std::max(m_now, arrived);
            deliver(one);
        }
        m_now = until;
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            if (m_nodes[index].running) {
                send(index, tick(m_nodes[index].state, m_now));
            }
        }
    }

    void deliver(const flight& one) {
        node& receiver = m_nodes[one.to];
        if (!receiver.running) {
            return;
        }
        receiver.bytes += one.datagram.size() + header_bytes;
        const auto message = through_codec ? decode(one.datagram) : one.message;
        if (message) {
            send(one.to, receive(receiver.state, membership_address(one.from), *message, m_now));
        }
    }

    core::steady_time m_now{std::chrono::hours(1)};
    std::vector<node> m_nodes;
    std::multimap<core::steady_time, flight> m_in_flight;
    mutable std::map<std::string, std::size_t> m_index;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_uniform{0, 1};
};

} // namespace monsoonlift::membership::testing
