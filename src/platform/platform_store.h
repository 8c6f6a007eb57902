/// Client of the platform's metadata store that implements this project's object API.
#pragma once

#include "logging/event_log.h"
#include "store/http_client.h"
#include "store/object_api.h"
#include "store/service_address.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace monsoonlift::platform {

/// Object API over the platform's store. "configuration/current" is the operator's configuration, translated
/// and read-only; get() returns an empty value for one that can't be used. An answer of get() that equals the
/// one before is not decoded again, so that daemons can read an unchanged configuration often. No read allows
/// the store a stale answer. Objects under any other prefix, such as "members/NAME", have a kind that belongs
/// to this project. Errors are those of store::object_api.
class platform_store final : public store::object_api {
public:
    /// `address` is that of the store. Configurations that can't be used are reported to `log`.
    platform_store(const boost::asio::any_io_executor& executor,
                   std::shared_ptr<const store::service_address> address, logging::event_log& log);

    /// Calls `restored` with the store's new era whenever an answer shows that the store was restored from a
    /// copy: before the answer is passed on, and not for the era that is seen first. Call it before the first
    /// use.
    void on_restored(std::function<void(std::uint64_t era)> restored) { m_on_restored = std::move(restored); }

    /// Calls `seen` with the first era that an answer shows, before the answer is passed on. Call it before
    /// the first use.
    void on_first_era(std::function<void(std::uint64_t era)> seen) { m_on_first_era = std::move(seen); }

    void get(const std::string& name, std::chrono::milliseconds patience,
             handler<store::object> done) override;
    void list(const std::string& prefix, std::chrono::milliseconds patience,
              handler<store::object_list> done) override;
    void update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                   std::chrono::milliseconds patience, handler<std::uint64_t> done) override;
    void remove_if(const std::string& name, std::uint64_t expected_version,
                   std::chrono::milliseconds patience, handler<std::uint64_t> done) override;
    void watch(const std::string& prefix, std::uint64_t revision, std::chrono::milliseconds patience,
               handler<store::watch_result> done) override;

private:
    class listing;
    struct read_configuration;

    template <class T, class Parser>
    void call(store::http_request&& request, std::chrono::milliseconds patience, Parser parse,
              handler<T> done);
    void take_era(const store::http_reply& answer);

    store::http_client m_client;
    std::shared_ptr<const store::service_address> m_address;
    logging::event_log& m_log;
    std::function<void(std::uint64_t)> m_on_restored;
    std::function<void(std::uint64_t)> m_on_first_era;
    std::optional<std::uint64_t> m_era; ///< Highest era seen; used on the executor only.
    std::shared_ptr<read_configuration> m_last_configuration; ///< Used on the executor only.
};

} // namespace monsoonlift::platform
