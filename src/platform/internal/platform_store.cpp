#include "platform/platform_store.h"

#include "configuration/stored_configuration_json.h"
#include "platform/configuration_codec.h"
#include "platform/store_codec.h"
#include "platform/types/wire_names.h"
#include "store/http_target.h"
#include "store/reply_reading.h"
#include "store/watch_grace.h"

#include <optional>
#include <string_view>
#include <utility>
#include <variant>

namespace monsoonlift::platform {

namespace {

using store::http_reply;

constexpr std::string_view configuration_prefix = "configuration/";

bool is_configuration(std::string_view name) {
    return name.starts_with(configuration_prefix);
}

/// Returns the prefix of an object name up to its first slash: "members/" of "members/10.0.0.1:7000".
std::string prefix_of(std::string_view name) {
    return std::string(name.substr(0, name.find('/') + 1));
}

/// Returns the platform's object kind for a prefix or an object name.
std::string kind_of(std::string_view name) {
    if (is_configuration(name)) {
        return std::string(wire::configuration_kind);
    }
    return std::string(wire::own_kinds_prefix) + std::string(name.substr(0, name.find('/')));
}

/// Returns the platform's name of an object within its kind.
std::string bare_name(std::string_view name) {
    return is_configuration(name) ? std::string(wire::configuration_name)
                                  : std::string(name.substr(name.find('/') + 1));
}

std::string kind_target(std::string_view name) {
    return std::string(wire::objects_path) + kind_of(name);
}

std::string object_target(std::string_view name) {
    return kind_target(name) + "/" + store::percent_encode(bare_name(name));
}

/// Translates an object of the platform; returns nothing for a configuration that can't be used. Other
/// objects whose content is not a string (another writer replaced them) get an empty value, so that their
/// owners can overwrite them.
std::optional<store::object> translate(std::string_view prefix, const stored_object& stored,
                                       logging::event_log& log) {
    if (is_configuration(prefix)) {
        const auto decoded = decode_configuration(stored.content);
        if (const auto* fault = std::get_if<configuration_fault>(&decoded)) {
            log.write(logging::event_id::configuration_refused,
                      {{"source", "platform"}, {"reason", fault->reason}});
            return std::nullopt;
        }
        const auto& read = std::get<configuration::stored_configuration>(decoded);
        return store::object{std::string(configuration::current_object), stored.version,
                             configuration::to_json(read)};
    }
    const auto* text = stored.content.if_string();
    return store::object{prefix_of(prefix) + stored.name, stored.version,
                         text != nullptr ? std::string(*text) : std::string()};
}

bool is_relevant(std::string_view prefix, const stored_object& stored) {
    return !is_configuration(prefix) || stored.name == wire::configuration_name;
}

store::watch_result translate(std::string_view prefix, const stored_changes& received,
                              logging::event_log& log) {
    store::watch_result result;
    result.revision = received.revision;
    for (const auto& change : received.changes) {
        if (!is_relevant(prefix, change.object)) {
            continue;
        }
        if (change.removed) {
            result.removed.push_back(prefix_of(prefix) + change.object.name);
        } else if (auto object = translate(prefix, change.object, log)) {
            result.changed.push_back(*std::move(object));
        }
    }
    return result;
}

/// Returns the version of a written object; `text` is the complete object, as the store answers a write.
std::optional<std::uint64_t> written_version(const std::string& text) {
    const auto object = decode_object(text);
    return object ? std::optional(object->version) : std::nullopt;
}

} // namespace

/// The configuration as get() read it last. Versions are assigned again after a restore of the store, so the
/// whole answers are compared.
struct platform_store::read_configuration {
    std::string answer;
    store::object decoded;
};

/// Reads a list page by page.
class platform_store::listing : public std::enable_shared_from_this<platform_store::listing> {
public:
    listing(platform_store& owner, std::string prefix, std::chrono::milliseconds patience,
            handler<store::object_list> done)
        : m_owner(owner), m_prefix(std::move(prefix)), m_patience(patience), m_done(std::move(done)) {}

    void next_page() {
        auto target = kind_target(m_prefix);
        if (!m_last_name.empty()) {
            target += "?after=" + store::percent_encode(m_last_name);
        }
        m_owner.call<stored_page>({"GET", std::move(target), {}, {}}, m_patience, decode_page,
                                  [self = shared_from_this()](core::result<stored_page> answered) {
                                      self->on_page(store::settle_result(std::move(answered)));
                                  });
    }

private:
    template <class Settled> void on_page(Settled answer) {
        if (!answer.value) {
            m_done(core::captured_failure<store::object_list>(answer.failure));
            return;
        }
        if (m_owner.m_era != m_era && !m_last_name.empty()) {
            // NOTE: the store was restored between two pages, so the pages before are of another store.
            m_read = {};
            m_last_name.clear();
            next_page();
            return;
        }
        m_era = m_owner.m_era;
        const auto& page = *answer.value;
        // NOTE: returns the first page's revision, so that a watch from it misses no change of later pages.
        m_read.revision = m_last_name.empty() ? page.revision : m_read.revision;
        for (const auto& stored : page.objects) {
            add(stored);
        }
        if (page.has_more && !page.objects.empty()) {
            m_last_name = page.objects.back().name;
            next_page();
            return;
        }
        m_done(std::move(m_read));
    }

    void add(const stored_object& stored) {
        if (!is_relevant(m_prefix, stored)) {
            return;
        }
        if (auto object = translate(m_prefix, stored, m_owner.m_log)) {
            m_read.objects.push_back(*std::move(object));
        }
    }

    platform_store& m_owner;
    std::string m_prefix;
    std::chrono::milliseconds m_patience;
    handler<store::object_list> m_done;
    store::object_list m_read;
    std::string m_last_name;
    std::optional<std::uint64_t> m_era; ///< Of the pages read.
};

platform_store::platform_store(const boost::asio::any_io_executor& executor,
                               std::shared_ptr<const store::service_address> address, logging::event_log& log)
    : m_client(executor), m_address(std::move(address)), m_log(log),
      m_last_configuration(std::make_shared<read_configuration>()) {}

template <class T, class Parser>
void platform_store::call(store::http_request&& request, std::chrono::milliseconds patience, Parser parse,
                          handler<T> done) {
    request.wanted_fields.emplace_back(wire::store_era_header);
    m_client.send(m_address->current(), std::move(request), patience,
                  [this, parse, done = std::move(done)](core::result<http_reply> answered) {
                      auto answer = store::settle_result(std::move(answered));
                      if (!answer.value) {
                          done(core::captured_failure<T>(answer.failure));
                          return;
                      }
                      take_era(*answer.value);
                      done(store::read_reply<T>(std::move(*answer.value), parse));
                  });
}

void platform_store::take_era(const http_reply& answer) {
    const auto read =
        answer.headers.empty() ? std::nullopt : store::parse_whole_number(answer.headers.front().value);
    if (!read || (m_era && *read <= *m_era)) {
        return;
    }
    const bool is_restored = m_era.has_value();
    m_era = read;
    const auto& told = is_restored ? m_on_restored : m_on_first_era;
    if (told) {
        told(*read);
    }
}

void platform_store::get(const std::string& name, std::chrono::milliseconds patience,
                         handler<store::object> done) {
    const auto parse =
        [this, name, last = m_last_configuration](const std::string& text) -> std::optional<store::object> {
        if (is_configuration(name) && text == last->answer) {
            return last->decoded;
        }
        const auto stored = decode_object(text);
        if (!stored || !is_configuration(name)) {
            return stored ? translate(name, *stored, m_log) : std::nullopt;
        }
        // NOTE: the store did answer, so a configuration that can't be used is not a failed call.
        auto decoded = translate(name, *stored, m_log)
                           .value_or(store::object{std::string(configuration::current_object),
                                                   stored->version, std::string()});
        *last = {text, std::move(decoded)};
        return last->decoded;
    };
    call<store::object>({"GET", object_target(name), {}, {}}, patience, parse, std::move(done));
}

void platform_store::list(const std::string& prefix, std::chrono::milliseconds patience,
                          handler<store::object_list> done) {
    std::make_shared<listing>(*this, prefix, patience, std::move(done))->next_page();
}

void platform_store::update_if(const std::string& name, std::uint64_t expected_version, std::string value,
                               std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    const bool creates = expected_version == 0;
    auto target = creates ? kind_target(name) : object_target(name);
    auto body = encode_write(bare_name(name), expected_version, value);
    call<std::uint64_t>({creates ? "POST" : "PUT",
                         std::move(target),
                         std::move(body),
                         {{"Content-Type", "application/json"}}},
                        patience, written_version, std::move(done));
}

void platform_store::remove_if(const std::string& name, std::uint64_t expected_version,
                               std::chrono::milliseconds patience, handler<std::uint64_t> done) {
    auto target = object_target(name) + "?Rev=" + std::to_string(expected_version);
    // NOTE: the body of the answer is ignored, so the version of the removal is always reported as 0.
    const auto parse = [](const std::string&) {
        return std::optional<std::uint64_t>(0);
    };
    call<std::uint64_t>({"DELETE", std::move(target), {}, {}}, patience, parse, std::move(done));
}

void platform_store::watch(const std::string& prefix, std::uint64_t revision,
                           std::chrono::milliseconds patience, handler<store::watch_result> done) {
    auto target = kind_target(prefix) + "?Watch=" + std::to_string(revision) +
                  "&WaitMs=" + std::to_string(patience.count());
    const auto parse = [this, prefix](const std::string& text) -> std::optional<store::watch_result> {
        const auto received = decode_changes(text);
        return received ? std::optional(translate(prefix, *received, m_log)) : std::nullopt;
    };
    call<store::watch_result>({"GET", std::move(target), {}, {}}, patience + store::watch_grace(patience),
                              parse, std::move(done));
}

} // namespace monsoonlift::platform
