#include "execution/home_keeper.h"

#include "execution/internal/home_writer.h"

namespace monsoonlift::execution {

using internal::home_writer;

home_keeper::home_keeper(store::scheduler& scheduler, execution_ledger& ledger, store::object_api& platform,
                         logging::event_log& log, other_gates others, home_keeper_options options)
    : m_writer(std::make_shared<home_writer>(scheduler, ledger, platform, log, std::move(others), options)) {
    ledger.on_homes_outdated([weak = std::weak_ptr(m_writer)] {
        if (const auto writer = weak.lock()) {
            writer->post([](home_writer& self) { self.refresh_soon(); });
        }
    });
    ledger.on_home_unknown([weak = std::weak_ptr(m_writer)] {
        if (const auto writer = weak.lock()) {
            writer->post([](home_writer& self) { self.refresh_for_unknown(); });
        }
    });
}

home_keeper::~home_keeper() {
    stop();
}

void home_keeper::serve(std::string service) {
    m_writer->post([service = std::move(service)](home_writer& self) { self.serve(service); });
}

void home_keeper::refresh() {
    m_writer->post([](home_writer& self) { self.refresh(); });
}

void home_keeper::drain(std::function<void()> done) {
    m_writer->post([done = std::move(done)](home_writer& self) { self.drain(done); });
}

void home_keeper::stop() {
    m_writer->post([kept = m_writer](home_writer& self) { self.stop(); });
}

} // namespace monsoonlift::execution
