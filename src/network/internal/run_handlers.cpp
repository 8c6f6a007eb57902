#include "network/run_handlers.h"

#include "core/contain.h"

namespace monsoonlift::network {

void run_handlers(boost::asio::io_context& io, const std::function<void(const std::string&)>& failed) {
    bool has_ended = false;
    while (!has_ended) {
        has_ended = core::contain([&] { io.run(); }, failed);
    }
}

} // namespace monsoonlift::network
