#include "core/configuration/published_configuration.h"
#include "core/membership/gossip_message.h"
#include "core/requests/answer_codec.h"
#include "core/settings/settings.h"
#include "tests/wire/byte_mutator.h"
#include "wire/attempt_header.h"
#include "wire/cache_event_reader.h"
#include "wire/completion_wire.h"
#include "wire/configuration_service_client.h"
#include "wire/json_rpc.h"
#include "wire/json_stage_wire.h"
#include "wire/load_reader.h"
#include "wire/peer_messages.h"
#include "wire/sse_parser.h"
#include "wire/vm_list_client.h"

#include <orchidlead/key_home_messages.h>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

/// Feeds every parser of bytes from outside with damaged texts. Each must come back, and what it
/// accepts must hold together. The seed is fixed; ORCHIDLEAD_FUZZ_ROUNDS lengthens the runs.
namespace orchidlead::wire {
namespace {

constexpr std::uint64_t Seed = 20261202;
constexpr int DefaultRounds = 3000;
constexpr std::size_t EventBound = 512;
constexpr int SlowRounds = 150; // documents of many kilobytes

int rounds(int normal)
{
    const char *factor = std::getenv("ORCHIDLEAD_FUZZ_ROUNDS");
    return factor == nullptr ? normal : normal * std::max(1, std::atoi(factor));
}

/// Calls `check` with damaged texts and tells how many it accepted.
template <class Check>
int fuzz(std::vector<std::string> corpus, int count, Check check)
{
    byte_mutator mutator(Seed, std::move(corpus));
    int accepted = 0;
    for (int round = 0; round < rounds(count); ++round) {
        const std::string text = mutator.next();
        INFO("seed " << Seed << ", round " << round);
        accepted += check(text, mutator) ? 1 : 0;
    }
    return accepted;
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    REQUIRE(in.good());
    return {std::istreambuf_iterator<char>(in), {}};
}

const std::string StreamEvents =
    "data: {\"id\":\"cmpl-r/0/1\",\"choices\":[{\"index\":0,\"text\":\"a\","
    "\"finish_reason\":null}]}\n\n: c\r\nevent: x\r\ndata: {\"id\":"
    "\"cmpl-r/0/1\",\"choices\":[{\"index\":0,\"text\":\"b\","
    "\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}"
    "\r\n\r\ndata: [DONE]\n\n";
const std::string PoolAnswer = R"({"request":"r","stage_index":0,"attempt":1,"output":{"a":[1.5e3,)"
                               R"("é\n",null,true]},"busy_ms":12,"load":{"running":1,"queued":2}})";

TEST_CASE("Fuzz: server-sent events read the same whole and in pieces")
{
    const int accepted = fuzz({StreamEvents}, DefaultRounds, [](const auto &text, auto &mutator) {
        sse_parser whole(EventBound);
        const auto expected = whole.feed(text);
        sse_parser pieces(EventBound);
        std::size_t events = 0;
        std::size_t dataBytes = 0;
        bool failed = false;
        for (std::size_t at = 0; at < text.size() && !failed;) {
            const std::size_t size = mutator.pieceSize(20);
            const auto got = pieces.feed(std::string_view{text}.substr(at, size));
            failed = got.has_error();
            at += size;
            for (std::size_t event = 0; !failed && event < got.value().size(); ++event) {
                ++events;
                dataBytes += got.value()[event].data.size();
            }
        }
        CHECK(failed == expected.has_error());
        CHECK(dataBytes <= text.size());
        if (expected)
            CHECK(events == expected.value().size());
        return expected.has_value();
    });
    CHECK(accepted > 0);
}

TEST_CASE("Fuzz: accepted JSON is written and read again as the same value")
{
    const int accepted = fuzz({PoolAnswer, R"([0,-1,1e5,"\ud83d\ude00\\",{"":{}}])"}, DefaultRounds,
                              [](const auto &text, auto &) {
                                  const auto parsed = parseJson(text);
                                  if (!parsed)
                                      return false;
                                  const std::string written = writeJson(parsed.value());
                                  CAPTURE(text, written);
                                  const auto again = parseJson(written);
                                  REQUIRE(again.has_value());
                                  CHECK(again.value() == parsed.value());
                                  return true;
                              });
    CHECK(accepted > 0);
}

template <class Decoder>
bool decodeAnswerText(const std::string &text, bool stream, byte_mutator &mutator)
{
    send_attempt attempt;
    attempt.key = {request_id{"r"}, 0, 1};
    attempt.stream = stream;
    Decoder decoder(attempt, wire_bounds{});
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t size = mutator.pieceSize(100);
        if (!decoder.feed(std::string_view{text}.substr(at, size)))
            return false;
        at += size;
    }
    const auto answer = decoder.finish();
    if (!answer)
        return false;
    CHECK(parseJson("[" + answer.value().output + "]").has_value());
    CHECK((!stream || answer.value().echoed == attempt.key));
    return true;
}

TEST_CASE("Fuzz: the output of an accepted answer is JSON, and a stream's is the attempt's own")
{
    CHECK(fuzz({PoolAnswer}, DefaultRounds,
               [](const auto &text, auto &mutator) {
                   return decodeAnswerText<json_stage_wire::decoder>(text, false, mutator);
               })
          > 0);
    const std::string whole = R"({"id":"cmpl-r/0/1","choices":[{"index":0,"text":"hi",)"
                              R"("finish_reason":"length"}],"usage":{"completion_tokens":64}})";
    CHECK(fuzz({whole}, DefaultRounds,
               [](const auto &text, auto &mutator) {
                   return decodeAnswerText<completion_wire::decoder>(text, false, mutator);
               })
          > 0);
    CHECK(fuzz({StreamEvents}, DefaultRounds,
               [](const auto &text, auto &mutator) {
                   return decodeAnswerText<completion_wire::decoder>(text, true, mutator);
               })
          > 0);
}

TEST_CASE("Fuzz: documents of the platform")
{
    const std::string list =
        R"({"version":7,"vms":[{"vm":"a","data_center":"d","region":"r","peer_address":)"
        R"("127.0.0.1:1","state":"live"},{"vm":"b","data_center":"d","region":"r",)"
        R"("peer_address":"[::1]:2","state":"leaving"}]})";
    CHECK(fuzz({list}, DefaultRounds,
               [](const auto &text, auto &) {
                   const auto read = vm_list_document::parse(text);
                   for (std::size_t at = 0; read && at < read.value().vms.size(); ++at)
                       CHECK(read.value().vms[at].peerAddress.port > 0);
                   return read.has_value();
               })
          > 0);
    CHECK(fuzz({R"({"version":12,"content":"a: \"é\"\n"})"}, DefaultRounds,
               [](const auto &text, auto &) {
                   const auto read = configuration_document::parse(text);
                   CHECK((!read || isUtf8(read.value().content)));
                   return read.has_value();
               })
          > 0);
    CHECK(fuzz({R"({"last":2,"events":[{"sequence":1,"prefix":"00ff","event":"stored"},)"
                R"({"sequence":2,"prefix":"a0","event":"evicted"}]})"},
               DefaultRounds,
               [](const auto &text, auto &) {
                   cache_document::state state;
                   return cache_document::parse(backend_server_id{"e"}, state, text).has_value();
               })
          > 0);
}

TEST_CASE("Fuzz: messages between nodes over TCP")
{
    CHECK(fuzz({R"({"jsonrpc":"2.0","id":1,"result":{"version":1,"content":"x"}})",
                R"({"jsonrpc":"2.0","id":1,"error":{"code":-32601,"message":"m"}})"},
               DefaultRounds,
               [](const auto &text, auto &) {
                   const auto answer = parseRpcAnswer(1, text);
                   if (answer)
                       static_cast<void>(parseConfigurationContent(answer.value()));
                   return answer.has_value();
               })
          > 0);
    CHECK(fuzz({"origin=vm-1&remaining_ms=900"}, DefaultRounds,
               [](const auto &text, auto &) {
                   const auto forward = parseForward(text, "{}");
                   if (forward)
                       CHECK(parseForward(composeForwardQuery(*forward), "{}").has_value());
                   return forward.has_value();
               })
          > 0);
    CHECK(fuzz({"vm1-5f3a-17/2/1"}, DefaultRounds,
               [](const auto &text, auto &) {
                   const auto key = parseAttemptKey(text);
                   if (key)
                       CHECK(parseAttemptKey(formatAttemptKey(*key)) == key);
                   return key.has_value();
               })
          > 0);
}

std::vector<std::string> gossipCorpus()
{
    gossip_message message;
    message.kind = gossip_kind::Sync;
    message.sender = {vm_id{"vm-1"}, 77, 3, member_status::Alive, false, 0, {}};
    message.configuration = {12, 34};
    message.application = "app";
    message.target = vm_id{"vm-2"};
    member_description home{data_center_id{"d"}, region_id{"r"}, {"127.0.0.1", 7101}};
    message.updates.push_back({vm_id{"vm-3"}, 8, 1, member_status::Suspect, true, 9, home});
    message.updates.push_back({vm_id{"vm-4"}, 8, 1, member_status::Dead, false, 0, {}});
    return {encodeGossip(message), encodeGossip({})};
}

TEST_CASE("Fuzz: an accepted datagram is encoded and read again as the same message")
{
    const auto corpus = gossipCorpus();
    REQUIRE(decodeGossip(corpus[0]).has_value());
    CHECK(fuzz(corpus, DefaultRounds,
               [](const auto &text, auto &) {
                   const auto message = decodeGossip(text);
                   if (!message)
                       return false;
                   const auto again = decodeGossip(encodeGossip(message.value()));
                   REQUIRE(again.has_value());
                   CHECK(again.value() == message.value());
                   return true;
               })
          > 0);
}

std::vector<std::string> keyHomeCorpus()
{
    shard_handover handover;
    handover.holder = 7;
    handover.records = {{"customer/key", 5, 1000, true, "answer"}, {"c/k", 6, 1000, false, ""}};
    return {
        encodeKeyHomeMessage(lease_request{7, 8, 0xff}),
        encodeKeyHomeMessage(lease_vote{7, 8, 0xf}),
        encodeKeyHomeMessage(lease_release{7, 8, 3, vm_id{"vm-2"}, 9, 10}),
        encodeKeyHomeMessage(handover),
        encodeKeyHomeMessage(handover_reply{7, 1, 0, 9, 10, true}),
    };
}

TEST_CASE("Fuzz: an accepted message of the at-most-once gate is encoded and read again")
{
    CHECK(fuzz(keyHomeCorpus(), DefaultRounds,
               [](const auto &text, auto &) {
                   const auto message = decodeKeyHomeMessage(text);
                   if (!message)
                       return false;
                   const std::string encoded = encodeKeyHomeMessage(message.value());
                   const auto again = decodeKeyHomeMessage(encoded);
                   REQUIRE(again.has_value());
                   CHECK(encodeKeyHomeMessage(again.value()) == encoded);
                   return true;
               })
          > 0);
    final_answer answer;
    answer.request = request_id{"vm-1-1-1"};
    answer.output = std::make_shared<const std::string>(R"({"a":1})");
    CHECK(fuzz({encodeAnswer(answer, 1000)}, DefaultRounds,
               [](const auto &text, auto &) { return decodeAnswer(text).has_value(); })
          > 0);
}

TEST_CASE("Fuzz: published configurations are taken or refused alike each time")
{
    const std::string examples = std::string{std::getenv("ORCHIDLEAD_SOURCE")} + "/examples/";
    const std::vector<std::string> corpus{readFile(examples + "vilistlasvork.yaml"),
                                          readFile(examples + "ruta-lactea.yaml")};
    for (const auto &text : corpus)
        REQUIRE(parsePublishedConfiguration(text, "example", 1).has_value());
    fuzz(corpus, SlowRounds, [](const auto &text, auto &) {
        const auto first = parsePublishedConfiguration(text, "fuzzed", 1);
        const auto second = parsePublishedConfiguration(text, "fuzzed", 1);
        REQUIRE(first.has_value() == second.has_value());
        if (first)
            return true;
        REQUIRE(first.error().size() == second.error().size());
        REQUIRE_FALSE(first.error().empty());
        CHECK(first.error()[0].message() == second.error()[0].message());
        CHECK(first.error()[0].message().size() < 2000);
        return false;
    });
}

TEST_CASE("Fuzz: settings of the process")
{
    const std::string path =
        std::string{std::getenv("ORCHIDLEAD_SOURCE")} + "/examples/settings.yaml";
    CHECK(fuzz({readFile(path)}, SlowRounds,
               [](const auto &text, auto &) { return parseSettings(text, "fuzzed").has_value(); })
          > 0);
}

} // namespace
} // namespace orchidlead::wire
