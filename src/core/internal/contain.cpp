#include "core/contain.h"

namespace monsoonlift::core {

std::string describe(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& known) {
        return known.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

} // namespace monsoonlift::core
