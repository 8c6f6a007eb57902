#include "platform/caller_protocol.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace monsoonlift;
using namespace std::chrono_literals;

namespace {

configuration::document make_rules() {
    configuration::document rules;
    rules.revision = 3;
    configuration::route_rule status;
    status.name = "status";
    status.host = "maps.example";
    status.path_prefix = "/status/";
    status.rank = 2;
    status.idempotent = true;
    status.timeout = 1000ms;
    status.attempts = 2;
    status.destinations = {{"mappa", 90}, {"spare", 10}};
    configuration::route_rule dispatch = status;
    dispatch.name = "dispatch";
    dispatch.path_prefix = "/status/dispatch/";
    dispatch.idempotent = false;
    dispatch.timeout = 0ms;
    dispatch.destinations = {{"squadre", 1}};
    rules.routes = {status, dispatch};
    return rules;
}

entry::request_fields request_of(const std::string& target, std::vector<transport::header> more = {}) {
    entry::request_fields request;
    request.method = "GET";
    request.target = target;
    request.headers = {{"Host", "maps.example"}, {"X-Request-Id", "9c41d07be2a35f68"}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    return request;
}

class parsing {
public:
    std::variant<entry::parsed_call, entry::problem> operator()(const entry::request_fields& request) const {
        return m_protocol.parse(request, {rules, 5000ms, {1}}, m_now);
    }

    [[nodiscard]] entry::parsed_call must(const entry::request_fields& request) const {
        auto parsed = (*this)(request);
        if (const auto* trouble = std::get_if<entry::problem>(&parsed)) {
            FAIL(trouble->detail);
        }
        return std::get<entry::parsed_call>(parsed);
    }

    [[nodiscard]] unsigned status_of(const entry::request_fields& request) const {
        const auto parsed = (*this)(request);
        REQUIRE(std::holds_alternative<entry::problem>(parsed));
        return std::get<entry::problem>(parsed).status;
    }

    [[nodiscard]] core::steady_time now() const { return m_now; }

    std::shared_ptr<gate::running_requests> running = std::make_shared<gate::running_requests>();
    configuration::document rules = make_rules();

private:
    entry::caller_protocol m_protocol = platform::make_caller_protocol("mappa", running);
    core::steady_time m_now = core::steady_time(1h);
};

std::vector<std::string> values_of(const entry::parsed_call& call, const std::string& name) {
    std::vector<std::string> values;
    for (const auto& field : call.headers) {
        if (field.name == name) {
            values.push_back(field.value);
        }
    }
    return values;
}

} // namespace

TEST_CASE("host and path select the route, which sets the deadline and the attempts", "[platform]") {
    const parsing parse;
    const auto call = parse.must(request_of("/status/7?x=1", {{"X-Deadline-Ms", "5000"}}));
    CHECK(call.context.rank == 2);
    CHECK(call.context.idempotent);
    CHECK(call.attempts == 2);
    CHECK(call.context.deadline == parse.now() + 1000ms);
    REQUIRE(call.request);
    CHECK(core::to_string(*call.request) == "9c41d07be2a35f680000000000000000");
    const auto shorter = parse.must(request_of("/status/7", {{"X-Deadline-Ms", "300"}}));
    CHECK(shorter.context.deadline == parse.now() + 300ms);
    const auto unbound = parse.must(request_of("/status/dispatch/1"));
    CHECK(unbound.service == "squadre");
    CHECK_FALSE(unbound.context.idempotent);
    CHECK(unbound.context.deadline == parse.now() + 5000ms);
}

TEST_CASE("a call whose request id extends that of a running request is its nested call", "[platform]") {
    const parsing parse;
    gate::context_token parent;
    parent.root.bytes = {1, 2, 3};
    parent.depth = 1;
    parent.rank = 0;
    parent.run = 7;
    parent.issuer = {1};
    parent.deadline = parse.now() + 200ms;
    parse.running->begin("9c41", parent);
    auto request = request_of("/status/7");
    request.headers[1].value = "9c41.77aa";
    const auto nested = parse.must(request);
    REQUIRE(nested.parent);
    CHECK(nested.parent->run == 7);
    CHECK(nested.context.root == parent.root);
    CHECK(nested.context.depth == 2);
    CHECK(nested.context.rank == 0);
    CHECK(nested.context.deadline == parent.deadline);
    request.headers[1].value = "9c42.77aa";
    CHECK_FALSE(parse.must(request).parent);
}

TEST_CASE("a traffic split follows its weights and is the same for the same request id", "[platform]") {
    const parsing parse;
    int spare = 0;
    constexpr int requests = 2000;
    for (int index = 0; index < requests; ++index) {
        auto request = request_of("/status/7");
        request.headers[1].value = "id" + std::to_string(index);
        const auto call = parse.must(request);
        spare += call.service == "spare" ? 1 : 0;
        CHECK(parse.must(request).service == call.service);
    }
    CHECK(spare == Approx(requests / 10).margin(requests / 40));
}

TEST_CASE("hop-by-hop headers and headers that only the daemon may set are not forwarded", "[platform]") {
    const parsing parse;
    const auto call = parse.must(request_of("/status/7", {{"x-caller-service", "forged"},
                                                          {"X-Expect-Instance", "i-1"},
                                                          {"X-Deadline-Ms", "5000"},
                                                          {"Connection", "keep-alive, X-Hop"},
                                                          {"X-Hop", "1"},
                                                          {"X-Other", "stays"}}));
    CHECK(values_of(call, "X-Caller-Service") == std::vector<std::string>{"mappa"});
    CHECK(values_of(call, "x-caller-service").empty());
    CHECK(values_of(call, "X-Expect-Instance").empty());
    CHECK(values_of(call, "X-Deadline-Ms").empty());
    CHECK(values_of(call, "X-Hop").empty());
    CHECK(values_of(call, "X-Other") == std::vector<std::string>{"stays"});
    CHECK(values_of(call, "X-Request-Id") == std::vector<std::string>{"9c41d07be2a35f68"});
    CHECK(values_of(call, "Host") == std::vector<std::string>{"maps.example"});
}

TEST_CASE("requests without a route get 404, and malformed requests get 400", "[platform]") {
    const parsing parse;
    CHECK(parse.status_of(request_of("/other/")) == 404);
    CHECK(parse.status_of(request_of("/status")) == 404);
    CHECK(parse.status_of(request_of("status/7")) == 400);
    CHECK(parse.status_of(request_of("/status/7", {{"X-Deadline-Ms", "soon"}})) == 400);
    CHECK(parse.status_of(request_of("/status/7", {{"Host", "other.example"}})) == 400);
}

TEST_CASE("a status that guarantees that nothing ran is sent only if nothing ran", "[platform]") {
    const auto protocol = platform::make_caller_protocol("mappa", std::make_shared<gate::running_requests>());
    struct status_case {
        unsigned status;
        core::verdict run;
        unsigned told;
    };
    const status_case cases[] = {
        {429, core::verdict::not_run, 429},      {503, core::verdict::not_run, 503},
        {504, core::verdict::not_run, 503},      {502, core::verdict::not_run, 503},
        {504, core::verdict::may_have_run, 504}, {503, core::verdict::may_have_run, 502},
        {429, core::verdict::ran, 502},          {404, core::verdict::not_run, 404},
    };
    for (const auto& wanted : cases) {
        entry::problem trouble;
        trouble.status = wanted.status;
        trouble.run = wanted.run;
        trouble.retry_after = 1250ms;
        const auto head = protocol.tell(trouble);
        CHECK(head.status == wanted.told);
        const auto said = std::find_if(head.headers.begin(), head.headers.end(),
                                       [](const auto& field) { return field.name == "Retry-After"; });
        const bool promises = head.status == 429 || head.status == 503;
        REQUIRE((said != head.headers.end()) == promises);
        if (promises) {
            CHECK(said->value == "1.250");
        }
    }
}

TEST_CASE("backend servers get the account's name, and neither its key nor what a caller claims",
          "[platform]") {
    parsing parse;
    parse.rules.accounts.emplace();
    REQUIRE(accounts::add(*parse.rules.accounts, {"school", {accounts::digest_of("k1")}, {}, {}}).empty());
    const auto call = parse.must(
        request_of("/status/7", {{"authorization", "Token k1"}, {"x-tenant", "employer"}, {"Accept", "a"}}));
    CHECK(call.context.account == "school");
    CHECK(values_of(call, "X-Tenant") == std::vector<std::string>{"school"});
    CHECK(values_of(call, "x-tenant").empty());
    CHECK(values_of(call, "authorization").empty());
    CHECK(values_of(call, "Accept").size() == 1);

    CHECK(parse.status_of(request_of("/status/7")) == 401);
    CHECK(parse.status_of(request_of("/status/7", {{"Authorization", "Token k2"}})) == 401);
    CHECK(parse.status_of(request_of("/status/7",
                                     {{"Authorization", "Token k1"}, {"Authorization", "Token k1"}})) == 401);
    CHECK(parse.status_of(request_of("/nowhere/7", {{"Authorization", "Token k1"}})) == 404);
}

TEST_CASE("without accounts the headers of accounts are passed on like any others", "[platform]") {
    const parsing parse;
    const auto call =
        parse.must(request_of("/status/7", {{"Authorization", "Token k1"}, {"X-Tenant", "employer"}}));
    CHECK(values_of(call, "Authorization").size() == 1);
    CHECK(values_of(call, "X-Tenant").size() == 1);
}

TEST_CASE("a nested call belongs to its parent's account and needs no key", "[platform]") {
    parsing parse;
    parse.rules.accounts.emplace();
    gate::context_token parent;
    parent.run = 7;
    parent.issuer = {1};
    parent.deadline = parse.now() + 200ms;
    parent.account = "school";
    parse.running->begin("9c41", parent);
    auto request = request_of("/status/7");
    request.headers[1].value = "9c41.77aa";
    const auto nested = parse.must(request);
    CHECK(nested.context.account == "school");
    CHECK(values_of(nested, "X-Tenant") == std::vector<std::string>{"school"});

    // A backend server whose daemon was restarted must not be told that the key of its call is unknown.
    parse.running->end("9c41", 7);
    CHECK(parse.status_of(request) == 503);
}

TEST_CASE("a key decides, though the request's id looks like that of a nested call", "[platform]") {
    parsing parse;
    parse.rules.accounts.emplace();
    REQUIRE(accounts::add(*parse.rules.accounts, {"employer", {accounts::digest_of("k1")}, {}, {}}).empty());
    gate::context_token parent;
    parent.run = 7;
    parent.issuer = {1};
    parent.account = "school";
    parse.running->begin("9c41", parent);
    const auto with_key = [](const std::string& id, const std::string& authorization) {
        auto request = request_of("/status/7", {{"Authorization", authorization}});
        request.headers[1].value = id;
        return request;
    };

    // Otherwise a caller could call in the name of a running request, without a key that is known.
    CHECK(parse.status_of(with_key("9c41.1", "Token stolen")) == 401);
    const auto call = parse.must(with_key("9c41.1", "Token k1"));
    CHECK(call.context.account == "employer");
    CHECK_FALSE(call.parent);
    CHECK(values_of(call, "X-Tenant") == std::vector<std::string>{"employer"});

    // A malformed key is none of a backend server's, so the answer is not that of a missing parent.
    CHECK(parse.status_of(with_key("aaaa.1", "Bearer k1")) == 401);
}

TEST_CASE("a refused request keeps the id by which its caller and the logs know it", "[platform]") {
    parsing parse;
    parse.rules.accounts.emplace();
    const auto result = parse(request_of("/status/7", {{"Authorization", "Token stolen"}}));
    REQUIRE(std::holds_alternative<entry::problem>(result));
    const auto& trouble = std::get<entry::problem>(result);
    REQUIRE(trouble.request);
    CHECK(core::to_string(*trouble.request) == "9c41d07be2a35f680000000000000000");
    CHECK(trouble.detail.find("stolen") == std::string::npos);
}

TEST_CASE("an answer with status 401 names the scheme of authentication", "[platform]") {
    const auto protocol = platform::make_caller_protocol("mappa", std::make_shared<gate::running_requests>());
    const auto head = protocol.tell({401, core::verdict::not_run, "unknown-key", "", "", {}});
    CHECK(head.status == 401);
    const auto is_challenge = [](const transport::header& field) {
        return field.name == "WWW-Authenticate" && field.value == "Token";
    };
    CHECK(std::any_of(head.headers.begin(), head.headers.end(), is_challenge));
}
