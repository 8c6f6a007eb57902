#include "membership/internal/member_object_keeper.h"

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
constexpr char members_prefix[] = "members/";
constexpr char membership_address_field[] = "membership_address";
constexpr char incarnation_field[] = "incarnation";

std::string object_name(const member& self) {
    return members_prefix + self.id.address;
}

std::string object_value(const member& self) {
    const boost::json::object value{{membership_address_field, self.membership_address},
                                    {incarnation_field, self.id.life.value},
                                    {"name", self.name},
                                    {"data_centre", self.data_centre}};
    return boost::json::serialize(value);
}

/// What an object says of the daemon that wrote it.
struct object_content {
    std::string membership_address;
    core::incarnation life;
};

std::optional<object_content> read_content(const std::string& text) {
    boost::system::error_code fault;
    const boost::json::value value = boost::json::parse(text, fault);
    const auto* fields = fault ? nullptr : value.if_object();
    const auto* address = fields != nullptr ? fields->if_contains(membership_address_field) : nullptr;
    if (address == nullptr || !address->is_string()) {
        return std::nullopt;
    }
    const auto* life = fields->if_contains(incarnation_field);
    if (life == nullptr || !life->is_number()) {
        return std::nullopt;
    }
    const auto number = life->to_number<std::uint64_t>(fault);
    if (fault) {
        return std::nullopt;
    }
    return object_content{std::string(address->as_string()), {number}};
}

} // namespace

member_object_keeper::member_object_keeper(boost::asio::any_io_executor strand, store::object_api& platform,
                                           member self, std::uint64_t random_seed, const core::clock& clock,
                                           logging::event_log& log, hooks owner)
    : m_strand(strand), m_platform(platform), m_self(std::move(self)), m_random(random_seed), m_clock(clock),
      m_log(log), m_on_peers(std::move(owner.on_peers)),
      m_cleaner(std::move(owner.belief), owner.gone_patience), m_timer(strand) {}

template <class T, class OnValue, class OnError>
store::object_api::handler<T> member_object_keeper::on_strand(OnValue on_value, OnError on_error) {
    return [weak = weak_from_this(), strand = m_strand, on_value, on_error](core::result<T> answer) {
        auto run = core::settle([&] { return std::move(answer); },
                                [&](T value) -> std::function<void()> {
                                    return [on_value, value = std::move(value)] {
                                        on_value(value);
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

void member_object_keeper::publish() {
    write(m_version);
}

void member_object_keeper::write(std::uint64_t expected_version) {
    m_platform.update_if(
        object_name(m_self), expected_version, object_value(m_self), call_patience,
        on_strand<std::uint64_t>([this](std::uint64_t version) { written(version); },
                                 [this](const core::error& failure) { write_failed(failure); }));
}

void member_object_keeper::written(std::uint64_t version) {
    m_version = version;
    m_pause = milliseconds(0);
    list();
}

void member_object_keeper::write_failed(const core::error& failure) {
    if (failure.code == core::error_code::conflict) {
        read_version();
        return;
    }
    m_log.write(logging::event_id::member_object_failed, {{"reason", failure.message}});
    after_pause([this] { read_version(); });
}

void member_object_keeper::read_version() {
    m_platform.get(object_name(m_self), call_patience,
                   on_strand<store::object>(
                       [this](const store::object& found) {
                           if (found.value == object_value(m_self)) {
                               written(found.version);
                               return;
                           }
                           write(found.version);
                       },
                       [this](const core::error& failure) {
                           if (failure.code == core::error_code::not_found) {
                               write(0);
                               return;
                           }
                           after_pause([this] { read_version(); });
                       }));
}

void member_object_keeper::list() {
    m_platform.list(
        members_prefix, call_patience,
        on_strand<store::object_list>([this](const store::object_list& found) { take_list(found); },
                                      [this](const core::error&) { list_again(); }));
}

void member_object_keeper::take_list(const store::object_list& found) {
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
    remove_one(others);
}

void member_object_keeper::check_own() {
    if (m_version == 0 || m_leaving) {
        return;
    }
    m_platform.get(object_name(m_self), call_patience,
                   on_strand<store::object>([](const store::object&) {},
                                            [this](const core::error& failure) {
                                                const bool gone = failure.code == core::error_code::not_found;
                                                if (gone && !m_leaving) {
                                                    write(0);
                                                }
                                            }));
}

void member_object_keeper::remove_one(const std::vector<listed_member_object>& others) {
    const auto chosen = m_cleaner.choose(others, m_clock.now(), m_random);
    if (!chosen || m_leaving) {
        return;
    }
    // NOTE: whatever becomes of the removal, the next listing shows it, so it is not repeated here.
    m_platform.remove_if(chosen->name, chosen->version, call_patience, [](const auto&) {});
}

void member_object_keeper::awake() {
    m_cleaner.awake(m_clock.now());
}

void member_object_keeper::list_again() {
    after_pause([this] { list(); });
}

void member_object_keeper::remove(std::function<void()> done) {
    m_leaving = true;
    if (m_version == 0) {
        done();
        return;
    }
    m_platform.remove_if(
        object_name(m_self), m_version, call_patience,
        on_strand<std::uint64_t>([done](std::uint64_t) { done(); }, [done](const core::error&) { done(); }));
}

void member_object_keeper::after_pause(std::function<void()> step) {
    m_pause = std::clamp(m_pause * 2, shortest_pause, longest_pause);
    std::uniform_int_distribution<std::int64_t> jitter(m_pause.count() / 2, m_pause.count());
    m_timer.expires_after(milliseconds(jitter(m_random)));
    m_timer.async_wait(
        [weak = weak_from_this(), step = std::move(step)](const boost::system::error_code& fault) {
            const auto self = weak.lock();
            if (self && !self->m_stopped && !fault) {
                step();
            }
        });
}

void member_object_keeper::stop() {
    m_stopped = true;
    m_timer.cancel();
}

} // namespace monsoonlift::membership::internal
