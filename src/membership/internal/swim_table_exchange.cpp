#include "membership/internal/swim_table_exchange.h"

#include "membership/message_codec.h"
#include "membership/swim_table.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace monsoonlift::membership::internal {

namespace {

using std::chrono::milliseconds;

bool has_present_member(const swim_state& state) {
    return std::any_of(state.members.begin(), state.members.end(),
                       [](const auto& entry) { return is_present(entry.second.value); });
}

std::string pick_seed(swim_state& state) {
    std::uniform_int_distribution<std::size_t> any(0, state.join.seeds.size() - 1);
    return state.join.seeds[any(state.random)];
}

std::size_t bytes_of(const swim_message& page) {
    return std::accumulate(page.records.begin(), page.records.end(), message_overhead_bytes,
                           [](std::size_t sum, const member& record) { return sum + encoded_bytes(record); });
}

} // namespace

outgoing_message make_page_request(swim_state& state, const std::string& peer, std::uint32_t bucket,
                                   const std::string& cursor) {
    swim_message request = make_message(state, message_kind::table_request);
    request.bucket = bucket;
    request.cursor = cursor;
    request.records.push_back(state.self);
    return {peer, request};
}

void join(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    join_state& joining = state.join;
    const bool is_needed = !joining.joined || !has_present_member(state);
    if (!is_needed || now < joining.retry_at) {
        return;
    }
    const std::vector<member> known = sample(state, 1, {});
    if (known.empty() && joining.seeds.empty()) {
        return;
    }
    const milliseconds doubled = std::max(joining.backoff * 2, state.limits.join_retry_min);
    joining.backoff = std::min(doubled, state.limits.join_retry_max);
    std::uniform_int_distribution<std::int64_t> jitter(joining.backoff.count() / 2, joining.backoff.count());
    joining.retry_at = now + milliseconds(jitter(state.random));
    const std::string peer = known.empty() ? pick_seed(state) : known.front().membership_address;
    out.push_back(make_page_request(state, peer, 0, joining.cursor));
}

void answer_table_request(swim_state& state, const std::string& from, const swim_message& request,
                          std::vector<outgoing_message>& out) {
    const swim_message page = make_page(state, request);
    out.push_back({from, page});
    spend_allowance(state, bytes_of(page));
    if (!page.complete || request.bucket != 0) {
        return;
    }
    std::vector<outgoing_message> rumors = make_rumor_messages(state, from);
    std::move(rumors.begin(), rumors.end(), std::back_inserter(out));
}

void handle_page(swim_state& state, const std::string& from, const swim_message& page, core::steady_time now,
                 std::vector<outgoing_message>& out) {
    if (!page.complete) {
        out.push_back(make_page_request(state, from, page.bucket, page.cursor));
    }
    if (page.bucket != 0) {
        return;
    }
    // NOTE: the table received on joining counts against the allowance: it amounts to about a minute's
    // refill.
    spend_allowance(state, bytes_of(page));
    state.join.cursor = page.complete ? std::string() : page.cursor;
    state.join.retry_at = now + state.limits.join_retry_min;
    state.join.backoff = milliseconds(0);
    state.join.joined = state.join.joined || page.complete;
}

void compare_digest(swim_state& state, const std::string& from, const swim_message& message,
                    core::steady_time now, std::vector<outgoing_message>& out) {
    if (message.digest == 0 || !state.join.joined) {
        return;
    }
    if (message.digest == table_digest(state)) {
        state.digest_differs_since.reset();
        return;
    }
    if (!state.digest_differs_since) {
        state.digest_differs_since = now;
    }
    const bool is_crowded = state.unsent.size() > state.limits.crowding_threshold;
    const auto patience = is_crowded ? state.limits.digest_patience_crowded : state.limits.digest_patience;
    if (now - *state.digest_differs_since < patience) {
        return;
    }
    state.digest_differs_since = now;
    out.push_back({from, make_message(state, message_kind::digest_request)});
}

void answer_digest_request(swim_state& state, const std::string& from, std::vector<outgoing_message>& out) {
    swim_message answer = make_message(state, message_kind::digest_answer);
    answer.bucket_digests = bucket_digests(state);
    out.push_back({from, answer});
}

void handle_bucket_digests(swim_state& state, const std::string& from, const swim_message& answer,
                           std::vector<outgoing_message>& out) {
    const std::vector<std::uint32_t> own = bucket_digests(state);
    std::vector<std::uint32_t> differing;
    for (std::uint32_t index = 0; index < own.size() && index < answer.bucket_digests.size(); ++index) {
        if (own[index] != answer.bucket_digests[index]) {
            differing.push_back(index + 1);
        }
    }
    if (differing.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, differing.size() - 1);
    out.push_back(make_page_request(state, from, differing[any(state.random)], {}));
}

} // namespace monsoonlift::membership::internal
