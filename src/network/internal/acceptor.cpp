#include "network/acceptor.h"

#include "core/go_on.h"
#include "network/tcp_source.h"
#include "store/asio_scheduler.h"

#include <boost/asio/strand.hpp>

#include <utility>

namespace monsoonlift::network {

using boost::asio::ip::tcp;

acceptor::acceptor(std::shared_ptr<connection_source> source, std::shared_ptr<store::scheduler> scheduler,
                   const core::clock& clock)
    : m_source(std::move(source)), m_scheduler(std::move(scheduler)), m_failures(clock) {}

void acceptor::start(acceptor_handlers handlers) {
    m_handlers = std::move(handlers);
    accept_next();
}

void acceptor::stop() {
    if (!m_stopped.exchange(true)) {
        m_source->close();
    }
}

void acceptor::accept_next() {
    bool has_room = false;
    core::run_then([&] { has_room = !m_handlers.has_room || m_handlers.has_room(); },
                   [&] {
                       if (has_room) {
                           accept_one();
                           return;
                       }
                       accept_later("every connection that may be open is at work");
                   });
}

void acceptor::accept_one() {
    // NOTE: this acceptor owns the source, so a shared pointer in the pending handler would keep both alive.
    m_source->accept([weak = weak_from_this()](const boost::system::error_code& failure, tcp::socket socket) {
        const auto self = weak.lock();
        if (self && !self->m_stopped) {
            self->handle_accept(failure, std::move(socket));
        }
    });
}

void acceptor::handle_accept(const boost::system::error_code& failure, tcp::socket socket) {
    if (failure) {
        accept_later(failure.message());
        return;
    }
    core::run_then([&] { m_handlers.accepted(std::move(socket)); }, [this] { accept_next(); });
}

void acceptor::accept_later(const std::string& why) {
    core::run_then([&] { report(why); }, [this] { accept_after_pause(); });
}

void acceptor::report(const std::string& why) {
    if (const auto left_out = m_failures.take()) {
        m_handlers.failed(why, *left_out);
    }
}

void acceptor::accept_after_pause() {
    m_scheduler->after(pause, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->m_stopped) {
            self->accept_next();
        }
    });
}

listening_acceptor listen(boost::asio::io_context& io, const tcp::endpoint& address,
                          const core::clock& clock) {
    const boost::asio::any_io_executor strand = boost::asio::make_strand(io);
    auto source = std::make_shared<tcp_source>(io, strand, address);
    const auto bound = source->address();
    auto scheduler = std::make_shared<store::asio_scheduler>(strand);
    return {std::make_shared<acceptor>(std::move(source), std::move(scheduler), clock), bound};
}

} // namespace monsoonlift::network
