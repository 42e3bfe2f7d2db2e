#include "platform/codec.h"
#include "wire/base64.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;
using platform::codec;

namespace {

http::request_head makeRequest()
{
    http::request_head head;
    head.method = "POST";
    head.target = "/a/b";
    head.fields = {{"Host", "x.example"},        {"X-Attempt-Id", "9c41"},
                   {"x-deadline-ms", "8000"},    {"Api-Key", "secret"},
                   {"X-Token-Count", "1460,80"}, {"X-Prefix-Hash", "5c1e:800,91bd:410,e440:250"},
                   {"X-Chunk-Count", "2,0,3"},   {"X-Chunk-Key", "7c1e"},
                   {"Last-Event-Id", "12"},      {"X-Tenant", "forged"},
                   {"X-Other", "kept"}};
    return head;
}

std::optional<std::string> valueOf(const http::field_list &fields, std::string_view name)
{
    const auto found = http::findField(fields, name);
    return found ? std::optional(std::string(*found)) : std::nullopt;
}

std::size_t countOf(const http::field_list &fields, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count_if(fields, [&](const http::field &each) {
        return http::equalsIgnoringCase(each.name, name);
    }));
}

std::string item(const std::string &key, const std::string &value)
{
    return R"({"key":")" + key + R"(","value":")" + wire::encodeBase64(value)
        + R"(","revision":4,"created":4,"lease":0})";
}

const std::string Server = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
    "slots":6,"phase":"ready","cold_remaining_ms":0,"sequence":4,"unknown":[1]})";

const std::string Configuration = R"({"version":7,"routes":[
  {"name":"r1","hostname":"A.example","path_prefix":"/a/","type":"streaming","timeout_ms":8000,
   "target_latency_ms":3600,"priority":1,"service":"e","max_attempts":2,
   "stages":[{"service":"p","after":[],"length":8000},{"service":"p","after":[0],"length":60000}],
   "anonymous":false,"session_affinity":true,"resumable":true,"itl_target_ms":500},
  {"name":"r2","hostname":"b.example","path_prefix":"/","type":"unsafe","timeout_ms":600,
   "target_latency_ms":100,"priority":2,"max_attempts":1,"anonymous":true,
   "traffic_split":[{"service":"w","weight":90},{"service":"v","weight":10}]}],
  "services":[{"name":"e","max_connections":610,"engine":{"slots":128,"kv_capacity":286093}},
   {"name":"p","max_connections":610,"segments":{"slots":1,"queue":2,"batch":8,"call_ms":200.0,
    "item_ms":7.8,"headroom_mb":2.8,"handle_s":4.0,"link_mbps":10000}}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
   "idle_timeout_ms":15000},
  "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})";

} // namespace

TEST_CASE("request headers are decoded")
{
    const auto metadata = codec::readRequest(makeRequest());
    CHECK(metadata.attempt == "9c41");
    CHECK(metadata.host == "x.example");
    CHECK(metadata.clientTimeout == milliseconds{8000});
    CHECK(metadata.key == "secret");
    CHECK(metadata.promptTokens == 1460);
    CHECK(metadata.answerTokens == 80);
    REQUIRE(metadata.prompt.size() == 3);
    CHECK(metadata.prompt[1].id == "91bd");
    CHECK(metadata.prompt[1].tokens == 410);
    CHECK(metadata.pieceCounts == std::vector<std::uint32_t>{2, 0, 3});
    CHECK(metadata.pieceKey == "7c1e");
    CHECK(metadata.lastEvent == 12);
    CHECK(metadata.continuesStream);
    CHECK(metadata.firstAttempt.empty());
}

TEST_CASE("the attempt that a stream resumes is read and forwarded")
{
    http::request_head head;
    head.fields = {{"resumes", "8b30"}};
    const auto metadata = codec::readRequest(head);
    CHECK(metadata.firstAttempt == "8b30");
    CHECK_FALSE(metadata.continuesStream);
    CHECK(valueOf(codec::writeServerFields(head, {}), "Resumes") == "8b30");
}

TEST_CASE("client values of system-only header fields are not forwarded to a server")
{
    const std::vector<std::string> systemFields{
        "X-Retention",        "x-pin-ms",     "X-Kv-Backup",        "Kv-From",
        "kv-fetch",           "X-Tenant",     "X-Expected-Version", "X-Expected-Instance",
        "X-Request-Priority", "X-Input-Count"};
    forwarded_metadata metadata;
    metadata.instance = backend_server_id("i-1");
    for (const auto &name : systemFields) {
        INFO("field: " << name);
        http::request_head head;
        head.fields = {{name, "forged"}, {"X-Length-Hint", "80"}};
        CHECK(codec::readRequest(head).reservedFields == 1);
        const auto sent = codec::writeServerFields(head, metadata);
        CHECK(valueOf(sent, name).value_or("") != "forged");
        CHECK(valueOf(sent, "x-length-hint") == "80");
    }
}

TEST_CASE("fields that clients may send, known or unknown, do not count as forged")
{
    auto head = makeRequest();
    std::erase_if(head.fields, [](const http::field &each) { return each.name == "X-Tenant"; });
    CHECK(codec::readRequest(head).reservedFields == 0);
}

TEST_CASE("unreadable request headers count as absent")
{
    http::request_head head;
    head.fields = {{"X-Deadline-Ms", "soon"}, {"Last-Event-Id", "-1"}, {"X-Prefix-Hash", "x:y"}};
    const auto metadata = codec::readRequest(head);
    CHECK_FALSE(metadata.clientTimeout);
    CHECK_FALSE(metadata.lastEvent);
    CHECK(metadata.continuesStream);
    REQUIRE(metadata.prompt.size() == 1);
    CHECK(metadata.prompt[0].tokens == 0);
}

TEST_CASE(
    "a server receives the headers of the system instead of the client's, and never the API key")
{
    forwarded_metadata metadata;
    metadata.clientTimeout = milliseconds{950};
    metadata.instance = backend_server_id("i-1");
    metadata.customer = customer_id("t1");
    metadata.priority = 3;
    metadata.lastEvent = 20;
    metadata.inputs = {"a/1", "b/2"};
    const auto fields = codec::writeServerFields(makeRequest(), metadata);
    CHECK(valueOf(fields, "x-deadline-ms") == "950");
    CHECK(countOf(fields, "x-deadline-ms") == 1);
    CHECK(valueOf(fields, "x-expected-instance") == "i-1");
    CHECK(valueOf(fields, "x-tenant") == "t1");
    CHECK(countOf(fields, "x-tenant") == 1);
    CHECK(valueOf(fields, "last-event-id") == "20");
    CHECK(countOf(fields, "last-event-id") == 1);
    CHECK(valueOf(fields, "x-input-count") == "a/1,b/2");
    CHECK(valueOf(fields, "x-request-priority") == "3");
    CHECK(valueOf(fields, "x-attempt-id") == "9c41");
    CHECK(valueOf(fields, "x-prefix-hash") == "5c1e:800,91bd:410,e440:250");
    CHECK(valueOf(fields, "x-other") == "kept");
    CHECK_FALSE(valueOf(fields, "api-key"));
}

TEST_CASE("a forged customer header is not forwarded for a request without a customer")
{
    CHECK_FALSE(valueOf(codec::writeServerFields(makeRequest(), {}), "x-tenant"));
}

TEST_CASE("answer headers are decoded")
{
    http::response_head head;
    head.fields = {{"x-attempt-id", "9c41"},
                   {"X-Instance-Signature", "3e1b"},
                   {"X-Not-Executed", "1"},
                   {"X-Instance-Load", "3,1,8"}};
    const auto metadata = codec::readAnswer(head);
    CHECK(metadata.attempt == "9c41");
    CHECK(metadata.signedByServer);
    CHECK(metadata.notExecuted);
    REQUIRE(metadata.server.load);
    CHECK(metadata.server.load->running == 3);
    CHECK(metadata.server.load->waiting == 1);
    CHECK(metadata.server.load->slots == 8);
}

// Guards against discarding the whole load report when a server appends figures unknown to the
// gateway.
TEST_CASE("known figures of a load header are read whatever follows them")
{
    rc::prop("", [] {
        const auto running = *rc::gen::inRange(0U, 100'000U);
        const auto waiting = *rc::gen::inRange(0U, 100'000U);
        const auto slots = *rc::gen::inRange(1U, 100'000U);
        auto text =
            std::to_string(running) + "," + std::to_string(waiting) + ", " + std::to_string(slots);
        const auto further = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
        for (const auto &each : further)
            text.append(",").append(each);
        http::response_head head;
        head.fields = {{"X-Instance-Load", text}};
        const auto load = codec::readAnswer(head).server.load;
        RC_ASSERT(load.has_value());
        RC_ASSERT(load->running == running);
        RC_ASSERT(load->waiting == waiting);
        RC_ASSERT(load->slots == slots);
    });
}

// Guards against losing the first three figures when the fourth, or what follows it, can't be read.
TEST_CASE("the fourth figure of a load header is read if it is a number, whatever follows it")
{
    rc::prop("", [] {
        const auto percent = *rc::gen::inRange(0U, 100'000U);
        const auto readable = *rc::gen::arbitrary<bool>();
        auto text = "3,1,8," + (readable ? std::to_string(percent) : "slow");
        const auto further = *rc::gen::container<std::vector<std::string>>(
            rc::gen::container<std::string>(rc::gen::inRange(' ', '~')));
        for (const auto &each : further)
            text.append(",").append(each);
        http::response_head head;
        head.fields = {{"X-Instance-Load", text}};
        const auto load = codec::readAnswer(head).server.load;
        RC_ASSERT(load.has_value());
        RC_ASSERT(load->running == 3U);
        RC_ASSERT(load->waiting == 1U);
        RC_ASSERT(load->slots == 8U);
        RC_ASSERT(load->timePercent == (readable ? std::optional(percent) : std::nullopt));
    });
}

TEST_CASE("a load header with a missing or non-numeric figure is ignored")
{
    for (const std::string text : {"", "3", "3,1", "3,,8", "3,one,8", "3,-1,8", "3,1,8x", ",,"}) {
        INFO(text);
        http::response_head head;
        head.fields = {{"X-Instance-Load", text}};
        CHECK_FALSE(codec::readAnswer(head).server.load);
    }
}

TEST_CASE("the rate limit of an answer is decoded, and a non-numeric limit is ignored")
{
    const auto read = [](const std::string &limit, int status = 200) {
        http::response_head head;
        head.status = status;
        head.fields = {{"server-limit", limit}};
        return codec::readAnswer(head).server.rateLimit;
    };
    CHECK(read("2.5").perSecond == 2.5);
    CHECK(read("0").perSecond == 0.0);
    CHECK(codec::readAnswer({}).server.rateLimit.valid);
    CHECK_FALSE(codec::readAnswer({}).server.rateLimit.perSecond);
    for (const auto *wrong : {"", "many", "-1", "inf", "nan", "1,5", "1 a second"}) {
        INFO("limit: " << wrong);
        CHECK_FALSE(read(wrong).valid);
    }
    // A different server at the same address.
    CHECK_FALSE(read("2.5", 421).valid);
}

TEST_CASE("only the value 1 of the leaving header marks a server as leaving")
{
    const auto read = [](const std::string &value, int status = 200) {
        http::response_head head;
        head.status = status;
        head.fields = {{"server-leaving", value}};
        return codec::readAnswer(head).server.leaving;
    };
    for (const int status : {200, 206, 400, 409, 429, 500, 503, 504}) {
        INFO("status " << status);
        CHECK(read("1", status));
    }
    for (const auto *other : {"", "0", "true", "1,1"}) {
        INFO("value: " << other);
        CHECK_FALSE(read(other));
    }
    CHECK_FALSE(codec::readAnswer({}).server.leaving);
    // A different server at the same address.
    CHECK_FALSE(read("1", 421));
}

TEST_CASE("Retry-After of a refusal is decoded with its fraction, and ignored in other answers")
{
    const auto read = [](const std::string &value, int status = 503) {
        http::response_head head;
        head.status = status;
        head.fields = {{"retry-after", value}};
        return codec::readAnswer(head).server.retryAfter;
    };
    CHECK(read("3") == milliseconds{3000});
    CHECK(read("0.25") == milliseconds{250});
    CHECK(read("0.0004") == milliseconds{1});
    CHECK(read("2.5", 429) == milliseconds{2500});
    CHECK(read("1e300") == std::chrono::hours{1});
    for (const auto *wrong :
         {"", "soon", "-1", "0", "inf", "nan", "Thu, 03 Dec 2026 10:00:00 GMT"}) {
        INFO("value: " << wrong);
        CHECK_FALSE(read(wrong));
    }
    for (const int status : {200, 404, 408, 421, 500, 502}) {
        INFO("status " << status);
        CHECK_FALSE(read("3", status));
    }
}

TEST_CASE("a refusal is distinguished from a request that has run")
{
    const auto refused = [](int status, bool notExecuted) {
        http::response_head head;
        head.status = status;
        if (notExecuted)
            head.fields = {{"X-Not-Executed", "1"}, {"X-Instance-Load", "8,4,8"}};
        return codec::readAnswer(head).server.refused;
    };
    CHECK(refused(503, true));
    CHECK(refused(429, true));
    CHECK_FALSE(refused(503, false));
    for (const int status : {200, 400, 409, 421})
        CHECK_FALSE(refused(status, true));
}

TEST_CASE("Retry-After is written in seconds with a fraction")
{
    CHECK(codec::retryAfter(milliseconds{400}).value == "0.400");
}

TEST_CASE("pieces of a stage call are written with a key or with inputs")
{
    const std::vector<piece_request> pieces{{"r1", 0, 2, milliseconds{900}, "7c\"1e", {}},
                                            {"r2", 2, 0, std::nullopt, std::nullopt, {"h/1"}}};
    CHECK(codec::writePieces(pieces)
          == R"({"items":[{"id":"r1","stage":0,"segment":2,"remaining_ms":900,"key":"7c\"1e"},)"
             R"({"id":"r2","stage":2,"segment":0,"inputs":["h/1"]}]})");
}

// Guards against an empty key for pieces whose stages before are omitted: no client has sent it.
TEST_CASE("a piece without a key and without inputs is written with an empty list of inputs")
{
    CHECK(codec::writePieces({{"r1", 1, 0, std::nullopt, std::nullopt, {}}})
          == R"({"items":[{"id":"r1","stage":1,"segment":0,"inputs":[]}]})");
}

TEST_CASE("results of pieces are read as handles or as failure reasons")
{
    const auto read = codec::readPieces(
        R"({"items":[{"handle":"h/1"},{"reason":"late"},{"reason":"gone"},{"reason":"room"},)"
        R"({"reason":"error"}]})");
    REQUIRE(read);
    REQUIRE(read.value().size() == 5);
    CHECK(std::get<std::string>(read.value()[0]) == "h/1");
    CHECK(std::get<piece_failure>(read.value()[1]) == piece_failure::Late);
    CHECK(std::get<piece_failure>(read.value()[2]) == piece_failure::InputGone);
    CHECK(std::get<piece_failure>(read.value()[3]) == piece_failure::NoRoom);
    CHECK(std::get<piece_failure>(read.value()[4]) == piece_failure::Error);
}

TEST_CASE("malformed answers to stage calls are errors")
{
    for (const std::string text : {"", "{", "[]", "{}", R"({"items":3})", R"({"items":[{}]})",
                                   R"({"items":[{"reason":"tired"}]})", R"({"items":["x"]})"}) {
        INFO("text: " << text);
        CHECK_FALSE(codec::readPieces(text));
    }
}

TEST_CASE("a page of servers is read, and an unreadable entry is reported with its key")
{
    const auto page = codec::readPage(R"({"items":[)" + item("servers/i-1", Server) + ","
                                      + item("servers/i-2", "{}") + "," + item("other/x", "{}")
                                      + R"(],"has_more":true,"store_revision":530})");
    REQUIRE(page);
    CHECK(page.value().more);
    CHECK(page.value().revision == 530);
    CHECK(page.value().lastKey == "other/x");
    REQUIRE(page.value().items.size() == 3);
    const auto &record = std::get<published_server>(page.value().items[0]).record;
    CHECK(record.id.value == "i-1");
    CHECK(record.address == socket_address{"10.0.0.9", 8080});
    CHECK(record.slots == 6);
    CHECK(record.version == software_version("v1"));
    CHECK_FALSE(record.leaving);
    CHECK(std::get<unreadable_item>(page.value().items[1]).key == "servers/i-2");
    CHECK(std::get<removed_server>(page.value().items[2]).id.value == "i-2");
}

TEST_CASE("an invalid server entry removes only that server")
{
    struct changed_entry
    {
        std::string what;
        std::string from;
        std::string to;
    };
    const std::vector<changed_entry> entries{
        {"service missing", R"("service":"s",)", ""},
        {"service of another type", R"("service":"s")", R"("service":7)"},
        {"service empty", R"("service":"s")", R"("service":"")"},
        {"address missing", R"("address":"10.0.0.9:8080",)", ""},
        {"address of another type", R"("10.0.0.9:8080")", "17"},
        {"address without a port", R"(10.0.0.9:8080)", "10.0.0.9"},
        {"data centre missing", R"("zone":"z",)", ""},
        {"data centre of another type", R"("zone":"z")", R"("zone":["z"])"},
        {"version missing", R"("version":"v1",)", ""},
        {"version of another type", R"("version":"v1")", R"("version":1)"},
        {"slots missing", R"("slots":6,)", ""},
        {"slots of another type", R"("slots":6)", R"("slots":"6")"},
        {"slots negative", R"("slots":6)", R"("slots":-6)"},
        {"no slots", R"("slots":6)", R"("slots":0)"},
        {"slots beyond all bounds", R"("slots":6)", R"("slots":123456789012)"},
        {"more slots than a server has", R"("slots":6)", R"("slots":65537)"},
        {"slots of two to the power of 31", R"("slots":6)", R"("slots":2147483648)"},
        {"state missing", R"("phase":"ready",)", ""},
        {"state of another type", R"("phase":"ready")", R"("phase":true)"},
        {"state that isn't named", R"("phase":"ready")", R"("phase":"READY")"},
        {"warm-up missing", R"("cold_remaining_ms":0,)", ""},
        {"warm-up of another type", R"("cold_remaining_ms":0)", R"("cold_remaining_ms":"0")"},
        {"sequence missing", R"("sequence":4,)", ""},
        {"sequence of another type", R"("sequence":4)", R"("sequence":4.5)"},
        {"start of another type", R"("sequence":4)", R"("sequence":4,"born":"1764000000000")"},
        {"start with a fraction", R"("sequence":4)", R"("sequence":4,"born":1764000000000.5)"},
        {"start negative", R"("sequence":4)", R"("sequence":4,"born":-1)"},
        {"doubled member", R"("sequence":4)", R"("sequence":4,"sequence":4)"},
        {"not JSON", R"("sequence":4)", R"("sequence":)"},
        {"deep nesting", R"([1])", std::string(200, '[') + std::string(200, ']')},
        {"large beyond all bounds", R"([1])", "\"" + std::string(200'000, 'x') + "\""},
    };
    for (const auto &each : entries) {
        INFO(each.what);
        auto text = Server;
        const auto at = text.find(each.from);
        REQUIRE(at != std::string::npos);
        text.replace(at, each.from.size(), each.to);
        const auto page = codec::readPage(R"({"items":[)" + item("servers/i-1", text) + ","
                                          + item("servers/i-2", Server)
                                          + R"(],"has_more":false,"store_revision":530})");
        REQUIRE(page);
        REQUIRE(page.value().items.size() == 3);
        REQUIRE(std::holds_alternative<unreadable_item>(page.value().items[0]));
        CHECK(std::get<unreadable_item>(page.value().items[0]).key == "servers/i-1");
        CHECK(std::get<removed_server>(page.value().items[1]).id.value == "i-1");
        CHECK(std::get<published_server>(page.value().items[2]).record.id.value == "i-2");
    }
}

// Guards against a key of another writer that is used as the identifier of a server: it would end
// up in the head of each request to that server.
TEST_CASE("an entry whose key is no identifier of a server names no server")
{
    for (const std::string key :
         {"servers/", "servers/a b", "servers/a\\r\\nX-Tenant: t", "servers/a\\u0000",
          "servers/\\u00e9", "servers/a\\u007f", "servers/a\\tb"}) {
        INFO("key: " << key);
        const auto page =
            codec::readPage(R"({"items":[)" + item(key, Server) + "," + item("servers/i-2", Server)
                            + R"(],"has_more":false,"store_revision":530})");
        REQUIRE(page);
        std::vector<std::string> used;
        for (const auto &each : page.value().items) {
            if (const auto *published = std::get_if<published_server>(&each))
                used.push_back(published->record.id.value);
        }
        CHECK(used == std::vector<std::string>{"i-2"});
    }
}

TEST_CASE("a randomly altered server entry results in its server or in the removal of that server")
{
    std::mt19937 random(20261203);
    std::uniform_int_distribution<int> anyByte(0, 255);
    std::uniform_int_distribution<std::size_t> anyPlace(0, Server.size() - 1);
    for (int i = 0; i < 3000; ++i) {
        auto text = Server;
        for (int changes = 0; changes <= i % 4; ++changes)
            text[anyPlace(random)] = static_cast<char>(anyByte(random));
        INFO("text: " << text);
        const auto page = codec::readPage(R"({"items":[)" + item("servers/i-1", text)
                                          + R"(],"has_more":false,"store_revision":530})");
        REQUIRE(page);
        const auto &items = page.value().items;
        if (items.size() == 1)
            CHECK(std::get<published_server>(items[0]).record.id.value == "i-1");
        else
            CHECK(std::get<removed_server>(items.at(1)).id.value == "i-1");
    }
}

TEST_CASE("a server entry with an undecodable value removes the server")
{
    const auto page = codec::readChanges(
        R"({"events":[{"key":"servers/i-1","value":"%%%","revision":9}],"store_revision":9})");
    REQUIRE(page);
    REQUIRE(page.value().items.size() == 2);
    CHECK(std::get<removed_server>(page.value().items[1]).id.value == "i-1");
}

TEST_CASE("leaving and removed servers are read from changes")
{
    auto leaving = Server;
    leaving.replace(leaving.find("ready"), 5, "draining");
    const auto page = codec::readChanges(
        R"({"events":[)" + item("servers/i-1", leaving)
        + R"(,{"key":"servers/i-2","revision":9,"deleted":true}],"store_revision":9})");
    REQUIRE(page);
    REQUIRE(page.value().items.size() == 2);
    CHECK(std::get<published_server>(page.value().items[0]).record.leaving);
    CHECK(std::get<removed_server>(page.value().items[1]).id.value == "i-2");
}

TEST_CASE("a configuration is read with routes, services, limits and customers")
{
    const auto read = codec::readConfiguration(Configuration);
    REQUIRE(read);
    const auto &content = read.value();
    CHECK(content.version == 7);
    REQUIRE(content.routes.size() == 2);
    const auto &stream = content.routes[0];
    CHECK(stream.host == "a.example");
    CHECK(stream.kind == request_kind::Stream);
    CHECK(stream.resumable);
    CHECK(stream.pauseObjective == milliseconds{500});
    REQUIRE(stream.stages.size() == 2);
    CHECK(stream.stages[1].after == std::vector<std::size_t>{0});
    CHECK(stream.stages[1].resultBytes == 60000);
    CHECK(content.routes[1].services[0].weight == 90);
    CHECK(content.routes[1].anonymous);
    REQUIRE(content.services.size() == 2);
    CHECK(content.services[0].engine->tokenCapacity == 286093);
    CHECK(content.services[1].stage->timePerPiece == std::chrono::microseconds{7800});
    CHECK(content.services[1].stage->resultMemoryBytes == 2'800'000);
    CHECK(content.services[1].stage->resultLifetime == milliseconds{4000});
    CHECK(content.limits.idleTimeout == milliseconds{15'000});
    REQUIRE(content.customers.size() == 1);
    CHECK(content.customers[0].keys.size() == 2);
    CHECK(content.customers[0].priority == 1U);
}

TEST_CASE("a configuration with an incomplete route is rejected as a whole")
{
    for (
        const std::string text :
        {"", "{}", R"({"version":"7"})", R"({"version":7,"routes":[{}]})",
         R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/","type":"odd","service":"s"}]})",
         R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"x","type":"safe","service":"s"}]})"}) {
        INFO("text: " << text);
        CHECK_FALSE(codec::readConfiguration(text));
    }
}

TEST_CASE("request targets of the store calls are written")
{
    CHECK(codec::configurationTarget() == "/kv-key?key=op/config");
    const auto latest = gateway::read_consistency::Latest;
    CHECK(codec::serversTarget("", latest) == "/kv-range?path_prefix=servers/");
    CHECK(codec::serversTarget("servers/i 1", latest)
          == "/kv-range?path_prefix=servers/&after=servers/i%201");
    CHECK(codec::serversTarget("", gateway::read_consistency::MayBeStale)
          == "/kv-range?path_prefix=servers/&allow_stale=1");
    CHECK(codec::watchTarget(411, milliseconds{1500})
          == "/kv-watch?path_prefix=&after=411&wait_ms=1500");
}

TEST_CASE("malformed store pages are errors")
{
    for (const std::string text : {"", "[]", "{}", R"({"items":[]})", R"({"store_revision":1})"}) {
        INFO("text: " << text);
        CHECK_FALSE(codec::readPage(text));
        CHECK_FALSE(codec::readChanges(text));
    }
}

TEST_CASE("the client's timeout is reduced by the time that a hop took, and never below zero")
{
    http::field_list fields{{"Host", "h"}, {"x-deadline-ms", "500"}};
    CHECK(codec::reduceTimeout(fields, milliseconds{120}));
    CHECK(fields[1].value == "380");
    CHECK_FALSE(codec::reduceTimeout(fields, milliseconds{380}));
    http::field_list without{{"Host", "h"}};
    CHECK(codec::reduceTimeout(without, milliseconds{120}));
    http::field_list unreadable{{"X-Deadline-Ms", "soon"}};
    CHECK_FALSE(codec::reduceTimeout(unreadable, milliseconds{1}));
}
