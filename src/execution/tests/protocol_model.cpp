#include "execution/tests/protocol_model.h"

#include "execution/tests/protocol_entries.h"
#include "execution/tests/protocol_gates.h"
#include "execution/tests/protocol_store.h"

namespace monsoonlift::execution::testing {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

std::string uuid_of(core::wall_time issued) {
    const auto since = std::chrono::duration_cast<milliseconds>(issued.time_since_epoch()).count();
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(12, '0');
    for (std::size_t index = 0; index < text.size(); ++index) {
        text[text.size() - 1 - index] = digits[static_cast<std::size_t>(since >> (4 * index)) & 15];
    }
    return text.substr(0, 8) + "-" + text.substr(8) + "-7000-8000-000000000001";
}

void lose_message(protocol_environment& environment) {
    if (!environment.frames.empty() && environment.chance(50)) {
        take(environment.frames, environment.random_index(environment.frames.size()));
    } else if (!environment.answers.empty()) {
        take(environment.answers, environment.random_index(environment.answers.size()));
    }
}

void set_clocks(protocol_environment& environment) {
    const auto draw = [&] {
        return environment.chance(50) ? clock_skew / 2 : -clock_skew / 2;
    };
    for (model_gate& gate : environment.gates) {
        gate.clock_offset = draw();
    }
    for (model_entry& entry : environment.entries) {
        entry.clock_offset = draw();
    }
}

void pass_time(protocol_environment& environment) {
    static constexpr auto spans = std::to_array<milliseconds>({10ms, 100ms, 1s, 3s, 6s, 20s, 61s});
    environment.now += spans[environment.random_index(environment.chance(80) ? 4 : spans.size())];
    if (environment.options.clocks_apart) {
        set_clocks(environment);
    }
    forget_at_gates(environment);
}

} // namespace

protocol_model::protocol_model(const model_options& options, std::uint64_t seed) {
    m_world.options = options;
    m_world.random.seed(seed);
    start_gate(m_world, 0);
    start_gate(m_world, 1);
    for (model_entry& one : m_world.entries) {
        one.life = {m_world.next_incarnation++};
    }
    home_view& first = m_world.gates[0].state.homes;
    m_world.store.version = 1;
    for (home_slot& slot : m_world.store.slots) {
        slot.holder = first.self;
    }
    adopt(first, m_world.store);
    m_world.first_send = m_world.now;
    m_world.key = draw_key();
}

execution_key protocol_model::draw_key() {
    const core::wall_time issued = m_world.wall_now() + m_world.options.caller_clock_ahead;
    switch (m_world.options.kind) {
    case key_kind::dated:
        return *parse_key(uuid_of(issued));
    case key_kind::permit: {
        const core::endpoint_id& gate = m_world.gates[m_world.random_index(2)].state.homes.self;
        return *parse_key(make_permit(gate, m_world.entries[0].life, 1, issued));
    }
    default:
        return *parse_key("dispatch-4711");
    }
}

std::optional<std::string> protocol_model::explore(std::size_t steps) {
    for (std::size_t count = 0; count < steps && !m_world.violation; ++count) {
        step();
    }
    return m_world.violation;
}

void protocol_model::step() {
    struct weighted {
        unsigned weight;
        void (*run)(protocol_environment&);
    };
    static constexpr auto actions = std::to_array<weighted>({
        {8, resend},
        {22, deliver_frame},
        {16, deliver_answer},
        {3, lose_message},
        {14, work_at_gate},
        {6, end_run},
        {3, give_up_call},
        {1, crash_entry},
        {3, crash_or_restart_gate},
        {4, freeze_or_wake_gate},
        {4, toggle_leaving},
        {1, fence_destroyed_gate},
        {16, start_store_call},
        {12, run_store_call},
        {12, deliver_store_answer},
        {4, lose_store_answer},
        {8, pass_time},
    });
    unsigned total = 0;
    for (const weighted& one : actions) {
        total += one.weight;
    }
    auto drawn = static_cast<unsigned>(m_world.random_index(total));
    for (const weighted& one : actions) {
        if (drawn < one.weight) {
            one.run(m_world);
            return;
        }
        drawn -= one.weight;
    }
}

} // namespace monsoonlift::execution::testing
