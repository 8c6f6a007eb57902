#include "network/failure_printer.h"

#include <iostream>
#include <utility>

namespace monsoonlift::network {

std::function<void(const std::string&, std::uint64_t)> print_failures(std::string program) {
    return [program = std::move(program)](const std::string& why, std::uint64_t left_out) {
        std::cerr << program << ": connections can't be accepted: " << why << " (" << left_out
                  << " failures left out)\n";
    };
}

} // namespace monsoonlift::network
