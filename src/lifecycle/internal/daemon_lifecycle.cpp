#include "lifecycle/daemon_lifecycle.h"

#include <utility>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoonlift::lifecycle {

namespace {

namespace msm = boost::msm;

struct sockets_open {};
struct configuration_known {};
struct stop_requested {};
struct nothing_in_flight {};

/// A state that stores its phase in the state machine when it is entered.
template <phase Reached> struct phase_state : msm::front::state<> {
    template <class Event, class Machine> void on_entry(const Event& /*event*/, Machine& machine) {
        machine.reached = Reached;
    }
};

struct definition : msm::front::state_machine_def<definition> {
    using starting = phase_state<phase::starting>;
    using joining = phase_state<phase::joining>;
    using serving = phase_state<phase::serving>;
    using draining = phase_state<phase::draining>;
    using stopped = phase_state<phase::stopped>;

    phase reached = phase::starting;

    using initial_state = starting;

    template <class Source, class Event, class Target> using row = msm::front::Row<Source, Event, Target>;

    struct transition_table : boost::mpl::vector<row<starting, sockets_open, joining>,       //
                                                 row<joining, configuration_known, serving>, //
                                                 row<starting, stop_requested, stopped>,     //
                                                 row<joining, stop_requested, draining>,     //
                                                 row<serving, stop_requested, draining>,     //
                                                 row<draining, nothing_in_flight, stopped>> {};

    template <class Machine, class Event> void no_transition(const Event&, Machine&, int) {}
};

} // namespace

struct daemon_lifecycle::machine {
    msm::back::state_machine<definition> states;
    phase_handler on_enter;
};

std::string_view to_string(phase value) {
    switch (value) {
    case phase::starting:
        return "starting";
    case phase::joining:
        return "joining";
    case phase::serving:
        return "serving";
    case phase::draining:
        return "draining";
    case phase::stopped:
        return "stopped";
    }
    return "stopped";
}

daemon_lifecycle::daemon_lifecycle(phase_handler on_enter) : m_machine(std::make_unique<machine>()) {
    m_machine->on_enter = std::move(on_enter);
    m_machine->states.start();
}

daemon_lifecycle::~daemon_lifecycle() = default;

phase daemon_lifecycle::current() const {
    return m_machine->states.reached;
}

void daemon_lifecycle::handle(signal received) {
    const phase before = current();
    switch (received) {
    case signal::sockets_open:
        m_machine->states.process_event(sockets_open{});
        break;
    case signal::configuration_known:
        m_machine->states.process_event(configuration_known{});
        break;
    case signal::stop_requested:
        m_machine->states.process_event(stop_requested{});
        break;
    case signal::nothing_in_flight:
        m_machine->states.process_event(nothing_in_flight{});
        break;
    }
    if (current() != before) {
        m_machine->on_enter(current());
    }
}

} // namespace monsoonlift::lifecycle
