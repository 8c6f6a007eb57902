#include "membership/internal/member_object_publisher.h"

#include "core/go_on.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace monsoonlift::membership::internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds call_patience{2000};
constexpr milliseconds shortest_pause{500};
constexpr milliseconds longest_pause{30'000};

/// Bounds while a deregistration is to be written or (for the pause) the recorded ones aren't yet known.
constexpr milliseconds urgent_patience{500};
constexpr milliseconds longest_urgent_pause{2000};

constexpr char members_prefix[] = "members/";
constexpr char membership_address_field[] = "membership_address";
constexpr char incarnation_field[] = "incarnation";
constexpr char deregistrations_field[] = "backends_left";

std::string object_name(const member& self) {
    return members_prefix + self.id.address;
}

std::string object_value(const member& self, const std::vector<core::departed_incarnation>& deregistrations) {
    boost::json::object value{{membership_address_field, self.membership_address},
                              {incarnation_field, self.id.life.value},
                              {"name", self.name},
                              {"data_centre", self.data_centre}};
    boost::json::array list;
    for (const auto& each : deregistrations) {
        list.push_back({{"id", each.id}, {"started_ms", each.started_ms}, {"heard_ms", each.received_ms}});
    }
    if (!list.empty()) {
        value[deregistrations_field] = std::move(list);
    }
    return boost::json::serialize(value);
}

std::optional<std::uint64_t> find_number(const boost::json::object& fields, std::string_view name) {
    const auto* found = fields.if_contains(name);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code fault;
    const auto number = found->to_number<std::uint64_t>(fault);
    return fault ? std::nullopt : std::optional(number);
}

std::optional<std::string> find_text(const boost::json::object& fields, std::string_view name) {
    const auto* found = fields.if_contains(name);
    return found != nullptr && found->is_string() ? std::optional(std::string(found->as_string()))
                                                  : std::nullopt;
}

std::vector<core::departed_incarnation> read_deregistrations(const boost::json::object& fields) {
    const auto* found = fields.if_contains(deregistrations_field);
    const auto* list = found != nullptr ? found->if_array() : nullptr;
    std::vector<core::departed_incarnation> deregistrations;
    if (list == nullptr) {
        return deregistrations;
    }
    for (const auto& each : *list) {
        const auto* item = each.if_object();
        const auto id = item != nullptr ? find_text(*item, "id") : std::nullopt;
        if (id) {
            deregistrations.push_back({*id, find_number(*item, "started_ms").value_or(0),
                                       find_number(*item, "heard_ms").value_or(0)});
        }
    }
    return deregistrations;
}

/// Content of a daemon's platform object.
struct object_content {
    std::string membership_address;
    core::incarnation life;
    std::vector<core::departed_incarnation> deregistrations;
};

std::optional<object_content> read_content(const std::string& text) {
    boost::system::error_code fault;
    const boost::json::value value = boost::json::parse(text, fault);
    const auto* fields = fault ? nullptr : value.if_object();
    if (fields == nullptr) {
        return std::nullopt;
    }
    const auto address = find_text(*fields, membership_address_field);
    const auto life = find_number(*fields, incarnation_field);
    if (!address || !life) {
        return std::nullopt;
    }
    return object_content{*address, {*life}, read_deregistrations(*fields)};
}

/// Handles an answer. If that throws, the call counts as failed, so that its series of calls goes on.
template <class OnAnswer, class OnError> void handle(const OnAnswer& on_answer, const OnError& on_error) {
    bool is_handled = false;
    const auto run = [&] {
        on_answer();
        is_handled = true;
    };
    core::run_then(run, [&] {
        if (!is_handled) {
            on_error({core::error_code::internal, "the answer could not be handled"});
        }
    });
}

} // namespace

member_object_publisher::member_object_publisher(boost::asio::any_io_executor strand,
                                                 store::object_api& platform, store::scheduler& timer,
                                                 member self, std::uint64_t random_seed,
                                                 const core::clock& clock, logging::event_log& log,
                                                 hooks owner)
    : m_strand(strand), m_platform(platform), m_self(std::move(self)), m_random(random_seed), m_clock(clock),
      m_log(log), m_on_peers(std::move(owner.on_peers)),
      m_on_past(std::move(owner.on_recorded_deregistrations)),
      m_cleaner(std::move(owner.find_known_member), owner.gone_patience), m_timer(timer) {}

template <class T, class OnValue, class OnError>
store::object_api::handler<T> member_object_publisher::on_strand(OnValue on_value, OnError on_error) {
    return [weak = weak_from_this(), strand = m_strand, on_value, on_error](core::result<T> answer) {
        auto run = core::settle([&] { return std::move(answer); },
                                [&](T value) -> std::function<void()> {
                                    return [on_value, on_error, value = std::move(value)] {
                                        handle([&] { on_value(value); }, on_error);
                                    };
                                },
                                [&](const core::error& failure) -> std::function<void()> {
                                    return [on_error, failure] {
                                        on_error(failure);
                                    };
                                });
        boost::asio::post(strand, [weak, run = std::move(run)] {
            const auto self = weak.lock();
            if (self && !self->m_stopped) {
                run();
            }
        });
    };
}

void member_object_publisher::publish() {
    begin_writing();
}

void member_object_publisher::begin_writing() {
    if (!std::exchange(m_is_writing, true)) {
        write(m_version);
    }
}

void member_object_publisher::write(std::uint64_t expected_version) {
    m_platform.update_if(object_name(m_self), expected_version, object_value(m_self, m_deregistrations),
                         patience(),
                         on_strand<std::uint64_t>(
                             [this, stored = m_deregistrations](std::uint64_t version) {
                                 report_past({});
                                 finish_write(version, stored);
                             },
                             [this](const core::error& failure) { write_failed(failure); }));
}

void member_object_publisher::finish_write(std::uint64_t version, const departed& stored) {
    m_version = version;
    m_stored = stored;
    m_write_pause = milliseconds(0);
    notify_recorded();
    if (is_record_due()) {
        write(version);
        return;
    }
    m_is_writing = false;
    if (!std::exchange(m_has_listed, true)) {
        list();
    }
}

void member_object_publisher::write_failed(const core::error& failure) {
    const bool has_changed =
        failure.code == core::error_code::conflict || failure.code == core::error_code::not_found;
    if (has_changed) {
        read_version();
        return;
    }
    m_log.write(logging::event_id::member_object_failed, {{"reason", failure.message}});
    after_pause(m_write_pause, longest_write_pause(), [this] { read_version(); });
}

void member_object_publisher::read_version() {
    m_platform.get(object_name(m_self), patience(),
                   on_strand<store::object>([this](const store::object& found) { handle_own_object(found); },
                                            [this](const core::error& failure) {
                                                if (failure.code == core::error_code::not_found) {
                                                    write(0);
                                                    return;
                                                }
                                                after_pause(m_write_pause, longest_write_pause(),
                                                            [this] { read_version(); });
                                            }));
}

void member_object_publisher::handle_own_object(const store::object& found) {
    const auto content = read_content(found.value);
    report_past(content ? content->deregistrations : departed());
    if (found.value == object_value(m_self, m_deregistrations)) {
        finish_write(found.version, m_deregistrations);
        return;
    }
    write(found.version);
}

void member_object_publisher::report_past(const departed& past) {
    if (m_is_past_reported) {
        return;
    }
    if (m_deregistrations.empty()) {
        m_deregistrations = past;
    }
    if (m_on_past) {
        m_on_past(past);
    }
    m_is_past_reported = true;
}

void member_object_publisher::record_deregistrations(
    const std::vector<core::departed_incarnation>& deregistrations, std::function<void()> on_recorded) {
    m_deregistrations = deregistrations;
    m_waiting.push_back({deregistrations, std::move(on_recorded)});
    if (m_deregistrations == m_stored) {
        notify_recorded();
        return;
    }
    begin_writing();
}

void member_object_publisher::notify_recorded() {
    std::vector<waiting_record> completed;
    std::vector<waiting_record> others;
    for (auto& each : m_waiting) {
        (each.deregistrations == m_stored ? completed : others).push_back(std::move(each));
    }
    m_waiting = std::move(others);
    core::for_each_apart(completed, [](const waiting_record& each) { each.on_recorded(); });
}

void member_object_publisher::forget_deregistrations() {
    m_deregistrations.clear();
    m_waiting.clear();
}

bool member_object_publisher::is_record_due() const {
    return !m_deregistrations.empty() && m_deregistrations != m_stored;
}

milliseconds member_object_publisher::patience() const {
    return is_record_due() ? urgent_patience : call_patience;
}

milliseconds member_object_publisher::longest_write_pause() const {
    return is_record_due() || !m_is_past_reported ? longest_urgent_pause : longest_pause;
}

void member_object_publisher::list() {
    m_platform.list(
        members_prefix, call_patience,
        on_strand<store::object_list>([this](const store::object_list& found) { handle_listing(found); },
                                      [this](const core::error&) { list_again(); }));
}

void member_object_publisher::handle_listing(const store::object_list& found) {
    constexpr auto prefix_length = sizeof(members_prefix) - 1;
    std::vector<std::string> peers;
    std::vector<listed_member_object> others;
    bool is_own_listed = false;
    for (const store::object& one : found.objects) {
        if (one.name == object_name(m_self)) {
            is_own_listed = true;
            continue;
        }
        const auto content = read_content(one.value);
        if (content && !content->membership_address.empty()) {
            peers.push_back(content->membership_address);
            others.push_back({one.name, one.version, {one.name.substr(prefix_length), content->life}});
        }
    }
    m_on_peers(peers);
    if (!is_own_listed) {
        check_own();
    }
    remove_gone_object(others);
}

void member_object_publisher::check_own() {
    if (m_version == 0 || m_leaving) {
        return;
    }
    m_platform.get(object_name(m_self), call_patience,
                   on_strand<store::object>([this](const store::object& found) { write_if_older(found); },
                                            [this](const core::error& failure) {
                                                const bool gone = failure.code == core::error_code::not_found;
                                                if (gone && !m_leaving && !m_is_writing) {
                                                    m_is_writing = true;
                                                    write(0);
                                                }
                                            }));
}

void member_object_publisher::write_if_older(const store::object& found) {
    const auto content = read_content(found.value);
    const bool is_of_later = content && content->life > m_self.id.life;
    const bool is_same = found.value == object_value(m_self, m_deregistrations);
    if (is_of_later || is_same || m_leaving || m_is_writing) {
        return;
    }
    m_is_writing = true;
    write(found.version);
}

void member_object_publisher::remove_gone_object(const std::vector<listed_member_object>& others) {
    const auto chosen = m_cleaner.choose(others, m_clock.now(), m_random);
    if (!chosen || m_leaving) {
        return;
    }
    // NOTE: a failed removal isn't retried here: the next listing shows the object again.
    m_platform.remove_if(chosen->name, chosen->version, call_patience, [](const auto&) {});
}

void member_object_publisher::note_running() {
    m_cleaner.note_running(m_clock.now());
}

void member_object_publisher::list_again() {
    after_pause(m_list_pause, longest_pause, [this] { list(); });
}

void member_object_publisher::remove(std::function<void()> done) {
    m_leaving = true;
    if (m_version == 0 || !m_deregistrations.empty()) {
        done();
        return;
    }
    m_platform.remove_if(
        object_name(m_self), m_version, call_patience,
        on_strand<std::uint64_t>([done](std::uint64_t) { done(); }, [done](const core::error&) { done(); }));
}

void member_object_publisher::after_pause(milliseconds& pause, milliseconds longest,
                                          std::function<void()> step) {
    pause = std::clamp(pause * 2, shortest_pause, longest);
    std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
    m_timer.after(milliseconds(jitter(m_random)), [weak = weak_from_this(), step = std::move(step)] {
        const auto self = weak.lock();
        if (self && !self->m_stopped) {
            step();
        }
    });
}

void member_object_publisher::stop() {
    m_stopped = true;
}

} // namespace monsoonlift::membership::internal
