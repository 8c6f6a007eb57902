#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace monsoonlift::network {

/// Runs handlers until the context is stopped or out of work. An exception that leaves a handler ends that
/// handler alone: its description goes to `failed`, which must not throw, and the next handler runs. May be
/// called by several threads at once.
void run_handlers(boost::asio::io_context& io, const std::function<void(const std::string&)>& failed);

} // namespace monsoonlift::network
