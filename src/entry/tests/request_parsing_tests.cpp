#include "entry/request_parsing.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time now{1h};

configuration::document sample_rules() {
    configuration::document rules;
    rules.classes = {"urgent", "bulk"};
    rules.callers = {{"citizen", 300ms}};
    configuration::service_rule mappa;
    mappa.name = "mappa";
    mappa.calls = {{"map", "GET", "/map", "bulk", 1, true, 2000ms},
                   {"report", "POST", "/reports", "urgent", 0, false, 5000ms}};
    rules.services = {mappa};
    return rules;
}

std::variant<parsed_call, problem> parse(std::vector<transport::header> headers, std::string method = "GET",
                                         std::string target = "/map/madonie?zoom=3") {
    const auto rules = sample_rules();
    return parse_call({std::move(method), std::move(target), std::move(headers)}, {rules, 5000ms, {77}}, now);
}

gate::context_token sample_token() {
    gate::context_token token;
    token.root.bytes[0] = 9;
    token.depth = 2;
    token.rank = 0;
    token.deadline = now + 100ms;
    token.run = 5;
    token.issuer = {77};
    return token;
}

} // namespace

TEST_CASE("each malformed head gets the problem type of its error", "[entry]") {
    struct bad_head {
        const char* what;
        std::vector<transport::header> headers;
        const char* method;
        const char* target;
        unsigned status;
        const char* type;
    };
    const transport::header mappa{"Monsoonlift-Service", "mappa"};
    const std::string long_key(129, 'k');
    const bad_head cases[] = {
        {"no service", {}, "GET", "/map", 400, "missing-service"},
        {"empty service", {{"Monsoonlift-Service", ""}}, "GET", "/map", 400, "empty-header"},
        {"two services", {mappa, mappa}, "GET", "/map", 400, "repeated-header"},
        {"service with a space", {{"Monsoonlift-Service", "a b"}}, "GET", "/map", 400, "bad-service"},
        {"unknown service", {{"Monsoonlift-Service", "x"}}, "GET", "/map", 404, "unknown-service"},
        {"unknown path", {mappa}, "GET", "/nothing", 404, "unknown-call"},
        {"unknown method", {mappa}, "DELETE", "/map", 404, "unknown-call"},
        {"target without a path", {mappa}, "GET", "*", 400, "bad-target"},
        {"absolute target", {mappa}, "GET", "http://a/map", 400, "bad-target"},
        {"timeout of words", {mappa, {"Monsoonlift-Timeout-Ms", "soon"}}, "GET", "/map", 400, "bad-timeout"},
        {"timeout of zero", {mappa, {"Monsoonlift-Timeout-Ms", "0"}}, "GET", "/map", 400, "bad-timeout"},
        {"negative timeout", {mappa, {"Monsoonlift-Timeout-Ms", "-1"}}, "GET", "/map", 400, "bad-timeout"},
        {"broken timeout", {mappa, {"Monsoonlift-Timeout-Ms", "1.5"}}, "GET", "/map", 400, "bad-timeout"},
        {"huge timeout", {mappa, {"Monsoonlift-Timeout-Ms", "600001"}}, "GET", "/map", 400, "bad-timeout"},
        {"long key", {mappa, {"Idempotency-Key", long_key}}, "GET", "/map", 400, "bad-key"},
        {"key with a tab", {mappa, {"Idempotency-Key", "a\tb"}}, "GET", "/map", 400, "bad-key"},
        {"half a permit", {mappa, {"Idempotency-Key", "permit/1"}}, "GET", "/map", 400, "bad-key"},
        {"caller with a space", {mappa, {"Monsoonlift-Caller", "a b"}}, "GET", "/map", 400, "bad-caller"},
        {"context of words", {mappa, {"Monsoonlift-Context", "x.y"}}, "GET", "/map", 400, "bad-context"},
    };
    for (const auto& one : cases) {
        INFO(one.what);
        const auto parsed = parse(one.headers, one.method, one.target);
        const auto* trouble = std::get_if<problem>(&parsed);
        REQUIRE(trouble != nullptr);
        REQUIRE(trouble->status == one.status);
        REQUIRE(trouble->type == one.type);
        REQUIRE(trouble->run == core::verdict::not_run);
        REQUIRE_FALSE(trouble->detail.empty());
    }
}

TEST_CASE("the shortest of all timeouts sets the deadline", "[entry]") {
    struct patience {
        std::vector<transport::header> headers;
        std::chrono::milliseconds expected;
    };
    const patience cases[] = {
        {{}, 2000ms},
        {{{"Monsoonlift-Timeout-Ms", "50"}}, 50ms},
        {{{"Monsoonlift-Timeout-Ms", "90000"}}, 2000ms},
        {{{"Monsoonlift-Caller", "citizen"}}, 300ms},
        {{{"Monsoonlift-Caller", "unknown"}}, 2000ms},
    };
    for (const auto& one : cases) {
        auto headers = one.headers;
        headers.push_back({"monsoonlift-service", "mappa"});
        const auto parsed = parse(headers);
        REQUIRE(std::get<parsed_call>(parsed).context.deadline == now + one.expected);
    }
}

TEST_CASE("own and hop-by-hop header fields are removed, the others are forwarded", "[entry]") {
    const auto parsed = parse({{"Monsoonlift-Service", "mappa"},
                               {"Connection", "close"},
                               {"Transfer-Encoding", "chunked"},
                               {"X-Crew", "7"},
                               {"Idempotency-Key", "k1"}});
    const auto& call = std::get<parsed_call>(parsed);
    REQUIRE(call.headers.size() == 1);
    REQUIRE(call.headers[0].name == "X-Crew");
    REQUIRE(call.context.key == "k1");
    REQUIRE(call.context.idempotent);
    REQUIRE(call.context.rank == 1);
}

TEST_CASE("a header field listed in the Connection field is not forwarded", "[entry]") {
    const auto parsed = parse({{"Monsoonlift-Service", "mappa"},
                               {"Connection", "keep-alive, X-Hop"},
                               {"x-hop", "1"},
                               {"X-Other", "2"}});
    const auto& call = std::get<parsed_call>(parsed);
    REQUIRE(call.headers.size() == 1);
    CHECK(call.headers[0].name == "X-Other");
}

TEST_CASE("a nested call takes root id, class and deadline from its parent", "[entry]") {
    auto token = sample_token();
    const auto ours =
        parse({{"Monsoonlift-Service", "mappa"}, {"Monsoonlift-Context", gate::to_string(token)}});
    const auto& nested = std::get<parsed_call>(ours);
    REQUIRE(nested.context.root == token.root);
    REQUIRE(nested.context.depth == 3);
    REQUIRE(nested.context.rank == 0);
    REQUIRE(nested.context.deadline == now + 100ms);
    token.issuer = {78};
    const auto foreign =
        parse({{"Monsoonlift-Service", "mappa"}, {"Monsoonlift-Context", gate::to_string(token)}});
    const auto& other = std::get<parsed_call>(foreign);
    REQUIRE(other.context.root == token.root);
    REQUIRE(other.context.rank == 1);
    REQUIRE(other.context.deadline == now + 2000ms);
}
