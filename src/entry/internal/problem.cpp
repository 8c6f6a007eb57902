#include "entry/types/problem.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace monsoonlift::entry {

std::string to_json(const problem& trouble) {
    const boost::json::object document{{"type", "urn:monsoonlift:problem:" + trouble.type},
                                       {"title", trouble.title},
                                       {"status", trouble.status},
                                       {"detail", trouble.detail},
                                       {"verdict", core::to_string(trouble.run)}};
    return boost::json::serialize(document);
}

} // namespace monsoonlift::entry
