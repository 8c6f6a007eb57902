#include "app/platform_standin/standin_server.h"

#include <utility>

#include "app/platform_standin/standin_session.h"
#include "network/address_text.h"
#include "network/failure_printer.h"

namespace monsoonlift::platform_standin {

standin_server::standin_server(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& listen,
                               std::uint64_t seed)
    : m_acceptor(network::listen(context, listen, m_clock)), m_state(std::make_shared<standin_state>()) {
    m_state->random.seed(seed);
}

// NOTE: the registered callbacks hold shared pointers to sessions, which share the state: this breaks the
// cycle.
standin_server::~standin_server() {
    m_state->waiting.clear();
}

void standin_server::serve_also(path_handler more_paths) {
    m_state->more_paths = std::move(more_paths);
}

void standin_server::start() {
    const auto accepted = [state = m_state](boost::asio::ip::tcp::socket socket) {
        std::make_shared<standin_session>(std::move(socket), state)->start();
    };
    m_acceptor.connections->start({accepted, network::print_failures("platform-standin")});
}

void standin_server::stop() {
    m_acceptor.connections->stop();
}

std::string standin_server::address() const {
    return network::to_text(m_acceptor.address);
}

} // namespace monsoonlift::platform_standin
