#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "store/http_client.h"
#include "store/object_api.h"
#include "store/service_address.h"

namespace monsoonlift::store {

/// The object API over HTTP and JSON.
class http_object_api final : public object_api {
public:
    /// `address` is that of the platform.
    http_object_api(const boost::asio::any_io_executor& executor,
                    std::shared_ptr<const service_address> address);

    void get(const std::string& name, std::chrono::milliseconds patience, handler<object> done) override;
    void list(const std::string& prefix, std::chrono::milliseconds patience,
              handler<object_list> done) override;
    void update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                   std::chrono::milliseconds patience, handler<std::uint64_t> done) override;
    void remove_if(const std::string& name, std::uint64_t expected_version,
                   std::chrono::milliseconds patience, handler<std::uint64_t> done) override;
    void watch(const std::string& prefix, std::uint64_t revision, std::chrono::milliseconds patience,
               handler<watch_result> done) override;

private:
    template <class T, class Parser>
    void call(http_request&& request, std::chrono::milliseconds patience, Parser parse, handler<T> done);

    http_client m_client;
    std::shared_ptr<const service_address> m_address;
};

} // namespace monsoonlift::store
