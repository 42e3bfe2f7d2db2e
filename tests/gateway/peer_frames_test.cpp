#include "gateway/peers/peer_frames.h"

#include <catch2/catch.hpp>

#include <random>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

template <class Frame>
Frame roundTrip(const Frame &frame)
{
    frame_splitter splitter;
    auto read = splitter.feed(encodeFrame(frame));
    REQUIRE(read);
    REQUIRE(read.value().size() == 1);
    return std::get<Frame>(read.value().front());
}

submit_piece_frame makePiece()
{
    submit_piece_frame frame;
    frame.token = 7;
    frame.pool = {service_id("s"), data_center_id("dc-1")};
    frame.request = {"r1",
                     2,
                     3,
                     std::nullopt,
                     "key",
                     {"a/1", "b/2"},
                     requestDigestOf({customer_id("c"), "h", "/p", "body"})};
    frame.rank = {1, 2};
    frame.softDeadlineLeft = milliseconds{-50};
    frame.deadlineLeft = milliseconds{900};
    frame.preferredDataCenter = data_center_id("dc");
    frame.inputBytes = 360'000;
    frame.resultBytes = 1'500'000;
    frame.mayBeRedirected = true;
    frame.redirectedFrom = data_center_id("dc-2");
    return frame;
}

} // namespace

// Guards against a key that appears on the way to the host of a pool.
TEST_CASE("a piece frame without a key stays without one")
{
    auto frame = makePiece();
    frame.request.key.reset();
    CHECK_FALSE(roundTrip(frame).request.key);
    frame.request.inputs.clear();
    CHECK_FALSE(roundTrip(frame).request.key);
}

TEST_CASE("a piece frame keeps all fields that the stage call needs")
{
    const auto read = roundTrip(makePiece());
    CHECK(read.token == 7);
    CHECK(read.request.inputs == std::vector<std::string>{"a/1", "b/2"});
    CHECK(read.request.stage == 2);
    CHECK(read.request.piece == 3);
    CHECK(read.softDeadlineLeft == milliseconds{-50});
    CHECK(read.rank == stage_rank{1, 2});
    CHECK(read.request.digest == makePiece().request.digest);
    CHECK(read.inputBytes == 360'000);
    CHECK(read.resultBytes == 1'500'000);
    CHECK(read.mayBeRedirected);
    CHECK(read.redirectedFrom == data_center_id("dc-2"));
}

// Guards against pieces that a host computes at another software version than the request's others.
TEST_CASE("a piece frame keeps the required software version and has no field for it without one")
{
    auto piece = makePiece();
    CHECK_FALSE(roundTrip(piece).version);
    const auto bytes = encodeFrame(piece).size();
    piece.version = software_version("v1.2");
    CHECK(roundTrip(piece).version == software_version("v1.2"));
    CHECK(encodeFrame(piece).size() > bytes);
}

TEST_CASE("an outcome frame keeps the software version of a result")
{
    const auto pool = makePiece().pool;
    const piece_outcome_frame plain{1, {std::string("h/1"), milliseconds{70}}};
    CHECK_FALSE(roundTrip(plain).report.version);
    const piece_outcome_frame original{
        1, {std::string("h/1"), milliseconds{70}, pool, software_version("v1.2")}};
    CHECK(roundTrip(original).report.version == software_version("v1.2"));
    CHECK(roundTrip(original).report.pool == pool);
}

TEST_CASE("a piece frame keeps the process of its submitter")
{
    auto piece = makePiece();
    piece.submitter = {vm_id("g2"), 1'765'000'000'000'000};
    CHECK(roundTrip(piece).submitter == piece.submitter);
}

TEST_CASE("frames about origins of streams keep their fields")
{
    const auto stream = digestOfTexts({"customer", "attempt"});
    const stream_origin origin{service_id("engine"), software_version("v1.2")};
    const auto records = roundTrip(stream_origin_frame{{{stream, origin, milliseconds{900}}}});
    REQUIRE(records.records.size() == 1);
    CHECK(records.records[0].stream == stream);
    CHECK(records.records[0].origin == origin);
    CHECK(records.records[0].lifetime == milliseconds{900});
    const auto query =
        roundTrip(stream_origin_query{7, stream, service_id("engine"), milliseconds{30'000}});
    CHECK(query.id == 7);
    CHECK(query.stream == stream);
    CHECK(query.service == service_id("engine"));
    CHECK(query.maxAge == milliseconds{30'000});
    const auto found = roundTrip(stream_origin_answer{7, origin, true, false, origin.version});
    CHECK(found.id == 7);
    CHECK(found.origin == origin);
    CHECK(found.severalVersions);
    CHECK(found.computed == origin.version);
    const auto dated =
        roundTrip(stream_origin_answer{9, std::nullopt, false, true, origin.version, 41, 40, true});
    CHECK(dated.revision == 41);
    CHECK(dated.readyRevision == 40);
    CHECK(dated.inContact);
    const auto unknown =
        roundTrip(stream_origin_answer{8, std::nullopt, false, true, std::nullopt});
    CHECK_FALSE(unknown.origin);
    CHECK_FALSE(unknown.severalVersions);
    CHECK(unknown.covered);
    CHECK_FALSE(unknown.computed);
}

namespace {

reserve_stage_frame makeReservation()
{
    reserve_stage_frame frame;
    frame.pool = {service_id("s"), data_center_id("dc-1"), region_id("r")};
    frame.query.id = 9;
    frame.query.attempt = "a1";
    frame.query.digest = requestDigestOf({customer_id("c"), "h", "/p", "body"});
    frame.query.customer = customer_id("c");
    frame.query.rank = {1, 2};
    frame.query.stages = {{0, 3, 2'900'000, milliseconds{0}, milliseconds{-20}},
                          {2, 5, 6'000, milliseconds{300}, milliseconds{650}}};
    frame.query.maxRetryAfter = milliseconds{1300};
    return frame;
}

} // namespace

TEST_CASE("a reserve stage frame keeps the request and the places of each stage")
{
    const auto sent = makeReservation();
    const auto read = roundTrip(sent);
    CHECK(read.pool == sent.pool);
    CHECK(read.query.id == 9);
    CHECK(read.query.attempt == "a1");
    CHECK(read.query.digest == sent.query.digest);
    CHECK(read.query.customer == customer_id("c"));
    CHECK(read.query.rank == stage_rank{1, 2});
    REQUIRE(read.query.stages.size() == 2);
    CHECK(read.query.stages[0].pieces == 3);
    CHECK(read.query.stages[0].resultBytes == 2'900'000);
    CHECK(read.query.stages[0].latestStart == milliseconds{-20});
    CHECK(read.query.stages[1].stage == 2);
    CHECK(read.query.stages[1].startsIn == milliseconds{300});
    CHECK(read.query.maxRetryAfter == milliseconds{1300});
}

TEST_CASE("a stage reserved frame keeps the answer, and a release frame the id")
{
    const auto read = roundTrip(stage_reserved_frame{
        9, {false, milliseconds{700}, milliseconds{250}, 40, 30, refusal_cause::OverShare, true}});
    CHECK(read.id == 9);
    CHECK_FALSE(read.answer.granted);
    CHECK(read.answer.wait == milliseconds{700});
    CHECK(read.answer.retryAfter == milliseconds{250});
    CHECK(read.answer.waitingAhead == 40);
    CHECK(read.answer.reservedAhead == 30);
    CHECK(read.answer.cause == refusal_cause::OverShare);
    CHECK(read.answer.turnHeld);
    CHECK(roundTrip(release_reservation_frame{9}).id == 9);
    CHECK_FALSE(roundTrip(release_reservation_frame{9}).stage);
    CHECK(roundTrip(release_reservation_frame{9, 3}).stage == 3U);
}

// Guards against an answer without a decision that is read as a measured wait of 0.
TEST_CASE("a stage reserved frame says whether the host decided; one of an older version did")
{
    stage_reserved_frame undecided;
    undecided.answer.decided = false;
    CHECK_FALSE(roundTrip(undecided).answer.decided);
    // Without the last field, as an older version sends it.
    auto bytes = encodeFrame(undecided).substr(FrameHeaderBytes);
    bytes.pop_back();
    --bytes.front();
    const auto old = decodeFrame(bytes);
    REQUIRE(old);
    CHECK(std::get<stage_reserved_frame>(old.value()).answer.decided);
}

// Guards against times whose sum with the current time overflows.
TEST_CASE("a reserve stage frame with a time beyond an hour is rejected")
{
    for (const auto time : {milliseconds{3'600'001}, milliseconds::max(), milliseconds::min()}) {
        auto frame = makeReservation();
        frame.query.stages[1].startsIn = time;
        CHECK_FALSE(decodeFrame(std::string_view(encodeFrame(frame)).substr(FrameHeaderBytes)));
    }
}

TEST_CASE("truncated or damaged frames about reservations are rejected or read without a crash")
{
    const std::vector<peer_frame> frames{makeReservation(),
                                         stage_reserved_frame{9, {true, milliseconds{7}}},
                                         release_reservation_frame{9}};
    std::minstd_rand random(7);
    for (const auto &frame : frames) {
        const auto bytes = encodeFrame(frame).substr(FrameHeaderBytes);
        for (std::size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(decodeFrame(std::string_view(bytes).substr(0, length)));
        for (int i = 0; i < 2000; ++i) {
            auto damaged = bytes;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            static_cast<void>(decodeFrame(damaged));
        }
    }
}

TEST_CASE("an outcome frame keeps a result handle or a failure reason")
{
    const piece_outcome_frame original{1, {std::string("h/1"), milliseconds{70}}};
    CHECK(std::get<std::string>(roundTrip(original).report.result) == "h/1");
    CHECK(roundTrip(original).report.wait == milliseconds{70});
    for (const auto &row : enumNames<piece_failure>) {
        INFO("reason " << row.name);
        const std::optional<pool_key> target =
            row.value == piece_failure::Redirected ? std::optional(makePiece().pool) : std::nullopt;
        const auto read = roundTrip(piece_outcome_frame{1, {row.value, milliseconds{0}, target}});
        CHECK(std::get<piece_failure>(read.report.result) == row.value);
        CHECK(read.report.pool == target);
    }
}

// Guards against a piece that is sent to the pool with an empty name.
TEST_CASE("an outcome frame of a redirected piece without its target is rejected")
{
    const auto bytes =
        encodeFrame(piece_outcome_frame{1, {piece_failure::Redirected, milliseconds{0}}});
    CHECK_FALSE(decodeFrame(std::string_view(bytes).substr(FrameHeaderBytes)));
}

// Guards against limits that a list of thousands of servers exceeds, and against the bandwidth it
// takes uncompressed.
TEST_CASE("a list of twenty thousand servers is decoded whole from a third of its bytes")
{
    publication_frame frame;
    frame.fullSync = true;
    std::mt19937 random(5);
    for (std::uint32_t i = 0; i < 20'000; ++i) {
        server_record record;
        record.id = backend_server_id("i-" + std::to_string(random()));
        record.service = service_id("service-" + std::to_string(i % 5));
        record.dataCenter = data_center_id("data-center-" + std::to_string(i % 6));
        record.address = {"10.1." + std::to_string(i % 200) + "." + std::to_string(i / 200), 8000};
        record.slots = 64;
        record.startedAt = 1'764'000'000'000 + i;
        frame.servers.push_back({record, {}});
    }
    const auto bytes = encodeFrame(frame);
    INFO(bytes.size() << " bytes");
    CHECK(bytes.size() <= 20'000 * 25);
    const auto read = roundTrip(frame);
    REQUIRE(read.servers.size() == frame.servers.size());
    CHECK(read.servers.back().record == frame.servers.back().record);
}

TEST_CASE("a damaged or truncated compressed frame is always rejected")
{
    publication_frame frame;
    for (int i = 0; i < 400; ++i) {
        server_record record;
        record.id = backend_server_id("s" + std::to_string(i * 7919));
        record.service = service_id("service");
        frame.servers.push_back({record, {}});
    }
    const auto whole = encodeFrame(frame).substr(FrameHeaderBytes);
    REQUIRE(whole.size() < 400 * 20);
    REQUIRE(decodeFrame(whole));
    const auto ZlibHeaderAt = whole.find('\x78');
    std::mt19937 random(11);
    std::uniform_int_distribution<std::size_t> place(0, whole.size() - 1);
    for (int i = 0; i < 300; ++i) {
        auto damaged = whole;
        const auto at = place(random);
        damaged[at] ^= static_cast<char>(1 + random() % 255);
        CAPTURE(at);
        // zlib data carries a checksum. Only its header has bits that don't change what is decoded:
        // those that state the size of the window.
        if (const auto read = decodeFrame(damaged)) {
            CHECK(at == ZlibHeaderAt);
            CHECK(encodeFrame(read.value()).substr(FrameHeaderBytes) == whole);
        }
        CHECK_FALSE(decodeFrame(whole.substr(0, place(random))));
    }
}

TEST_CASE("a publication frame keeps its servers and all other fields")
{
    publication_frame frame;
    frame.age = milliseconds{120};
    frame.configurationVersion = 17;
    frame.current = true;
    frame.fullSync = true;
    frame.listedParts = {3, 63};
    frame.revision = 1ULL << 40U;
    frame.removed = {{backend_server_id("gone"), 41}};
    frame.removalsDeferred = milliseconds{2300};
    frame.contactAge = milliseconds{310};
    for (int i = 0; i < 3; ++i) {
        server_record record;
        record.id = backend_server_id("s" + std::to_string(i));
        record.address = {"10.0.0.1", static_cast<std::uint16_t>(80 + i)};
        record.slots = 4;
        record.leaving = i == 1;
        if (i == 1)
            record.startedAt = 1'764'000'000'000;
        record.version = software_version("v1." + std::to_string(i));
        frame.servers.push_back({record, milliseconds{700}, 40U + static_cast<std::uint64_t>(i)});
    }
    const auto read = roundTrip(frame);
    REQUIRE(read.servers.size() == 3);
    CHECK(read.servers[1].record.leaving);
    CHECK(read.servers[1].coldTimeLeft == milliseconds{700});
    CHECK(read.servers[2].revision == 42);
    CHECK_FALSE(read.servers[0].record.startedAt);
    CHECK(read.servers[1].record.startedAt == 1'764'000'000'000);
    CHECK(read.servers[2].record.address.port == 82);
    CHECK(read.servers[2].record.version == software_version("v1.2"));
    CHECK(read.configurationVersion == 17);
    CHECK(read.current);
    CHECK(read.age == milliseconds{120});
    CHECK(read.fullSync);
    CHECK(read.listedParts == frame.listedParts);
    CHECK(read.revision == 1ULL << 40U);
    CHECK(read.removed == frame.removed);
    CHECK(read.removalsDeferred == milliseconds{2300});
    CHECK(read.contactAge == milliseconds{310});
}

TEST_CASE("follow, compare and publication request frames keep their fields")
{
    list_digest known{};
    known[3] = 0xfffffffe;
    CHECK(roundTrip(follow_frame{true, 7, known}).subscribes);
    CHECK(roundTrip(follow_frame{true, 7, known}).revision == 7);
    CHECK(roundTrip(follow_frame{true, 7, known}).known == known);
    CHECK_FALSE(roundTrip(follow_frame{}).subscribes);
    CHECK(roundTrip(list_digest_frame{8, known}).revision == 8);
    CHECK(roundTrip(list_digest_frame{8, known}).known == known);
    CHECK(roundTrip(publication_request{7, known}).known == known);
    CHECK(roundTrip(publication_request{7, known}).configurationVersion == 7);
    CHECK(roundTrip(publication_request{7, known}).confirmation == 0);
    CHECK(roundTrip(publication_request{7, known, 5}).confirmation == 5);
    publication_frame confirming;
    confirming.confirmation = 5;
    confirming.confirmed = true;
    confirming.gapUntil = 40;
    const auto confirmed = roundTrip(confirming);
    CHECK(confirmed.confirmation == 5);
    CHECK(confirmed.confirmed);
    CHECK(confirmed.gapUntil == 40);
}

TEST_CASE("a configuration frame keeps the text as published")
{
    std::string text;
    for (int i = 0; i < 2000; ++i)
        text += R"({"name":"route-)" + std::to_string(i) + R"("},)";
    CHECK(roundTrip(configuration_request{17}).version == 17);
    const configuration_frame original{19, compress(text)};
    const auto read = roundTrip(original);
    CHECK(read.version == 19);
    const auto back = decompress(read.text, MaxFrameBytes);
    REQUIRE(back);
    CHECK(back.value() == text);
}

TEST_CASE("a place frame keeps the prompt and the excluded servers")
{
    place_frame frame;
    frame.id = 5;
    frame.query.prompt = {{"a", 100}, {"b", 200}};
    frame.query.exclude = {backend_server_id("s1")};
    frame.query.transferBytes = 12;
    frame.query.pool = {service_id("e"), data_center_id("dc-2")};
    const auto read = roundTrip(frame);
    REQUIRE(read.query.prompt.size() == 2);
    CHECK(read.query.pool == frame.query.pool);
    CHECK(read.query.prompt[1].id == "b");
    CHECK(read.query.prompt[1].tokens == 200);
    CHECK(read.query.exclude == frame.query.exclude);
}

TEST_CASE("placed and progress frames keep server, wait and server signals")
{
    const auto placed = roundTrip(placed_frame{3, backend_server_id("s1"), milliseconds{70}, true});
    CHECK(placed.server.value == "s1");
    CHECK(placed.wait == milliseconds{70});
    CHECK(placed.allRateLimited);
    const auto silent =
        roundTrip(placement_progress_frame{3, placement_progress_frame::event_type::Ended});
    CHECK_FALSE(silent.signals.rateLimit.valid);
    server_signals signals;
    signals.rateLimit.perSecond = 2.5;
    signals.leaving = true;
    signals.refused = true;
    signals.retryAfter = milliseconds{300};
    const auto progress = roundTrip(
        placement_progress_frame{3, placement_progress_frame::event_type::FirstToken, signals});
    CHECK(progress.signals.leaving);
    CHECK(progress.signals.refused);
    CHECK_FALSE(progress.signals.accepted);
    // A retry delay applies only to the node that received it, so it is not sent.
    CHECK_FALSE(progress.signals.retryAfter);
    CHECK(progress.signals.rateLimit.valid);
    CHECK(progress.signals.rateLimit.perSecond == 2.5);
    CHECK_FALSE(
        roundTrip(placement_progress_frame{3, placement_progress_frame::event_type::Ended, {}})
            .signals.rateLimit.perSecond);
    const auto timed = roundTrip(placement_progress_frame{
        3, placement_progress_frame::event_type::FirstToken, NoSignals, 250, milliseconds{12}});
    CHECK(timed.timePercent == 250U);
    CHECK(timed.timePercentAge == milliseconds{12});
    CHECK_FALSE(progress.timePercent);
    CHECK_FALSE(progress.serverFailed);
    placement_progress_frame failed{3};
    failed.serverFailed = true;
    CHECK(roundTrip(failed).serverFailed);
}

TEST_CASE("admission frames keep the rank of the request and the retry time of the answer")
{
    admission_request frame;
    frame.id = 9;
    frame.query.pool = {service_id("e"), data_center_id("dc-2")};
    frame.query.rank = {2, 1};
    frame.query.clientTimeout = milliseconds{800};
    frame.query.admitted = true;
    const auto read = roundTrip(frame);
    CHECK(read.id == 9);
    CHECK(read.query.pool == frame.query.pool);
    CHECK(read.query.rank == frame.query.rank);
    CHECK(read.query.clientTimeout == milliseconds{800});
    CHECK(read.query.admitted);
    const auto answer = roundTrip(admission_answer{9, {false, milliseconds{1300}, true}});
    CHECK_FALSE(answer.admissionDecision.granted);
    CHECK(answer.admissionDecision.retryDelay == milliseconds{1300});
    CHECK(answer.admissionDecision.allRateLimited);
}

TEST_CASE("a rate limits frame keeps server start and age of each limit, and rejects negative ones")
{
    rate_limits_frame frame;
    frame.limits = {{{backend_server_id("s1"), 77}, 0.5, milliseconds{20}},
                    {{backend_server_id("s2"), std::nullopt}, std::nullopt, milliseconds{0}}};
    const auto read = roundTrip(frame);
    REQUIRE(read.limits.size() == 2);
    CHECK(read.limits[0].server == frame.limits[0].server);
    CHECK(read.limits[0].perSecond == 0.5);
    CHECK(read.limits[0].ago == milliseconds{20});
    CHECK(read.limits[1].server == frame.limits[1].server);
    CHECK_FALSE(read.limits[1].perSecond);
    frame.limits[0].perSecond = -1.0;
    CHECK_FALSE(decodeFrame(encodeFrame(frame).substr(FrameHeaderBytes)));
}

TEST_CASE("frames that arrive byte by byte are reassembled")
{
    const auto bytes = encodeFrame(makePiece()) + encodeFrame(ping_frame{});
    frame_splitter splitter;
    std::size_t frames = 0;
    for (const char each : bytes) {
        const auto read = splitter.feed(std::string_view(&each, 1));
        REQUIRE(read);
        frames += read.value().size();
    }
    CHECK(frames == 2);
}

TEST_CASE("a frame above the size limit is an error of the stream")
{
    frame_splitter splitter;
    CHECK_FALSE(splitter.feed(std::string("\x7f\xff\xff\xff", 4)));
}

TEST_CASE("decoding damaged frames either fails or gives a frame, without crashing")
{
    std::mt19937 random(20261202);
    const auto whole = encodeFrame(makePiece());
    for (int i = 0; i < 5000; ++i) {
        auto bytes = whole.substr(FrameHeaderBytes);
        const auto at = random() % bytes.size();
        bytes[at] = static_cast<char>(random());
        if (i % 3 == 0)
            bytes.resize(random() % bytes.size());
        (void)decodeFrame(bytes);
    }
    SUCCEED();
}

TEST_CASE("a server crashes frame keeps the in-flight requests of each server")
{
    const auto digest = requestDigestOf({customer_id("c"), "h", "/p", "body"});
    const server_crashes_frame sent{{{backend_server_id("s-1"),
                                      milliseconds{30},
                                      {{digest, milliseconds{70}, 2, digestOfTexts({"part"})}, {}}},
                                     {backend_server_id("s-2"), milliseconds{0}, {}}}};
    const auto read = roundTrip(sent);
    REQUIRE(read.serverCrashes.size() == 2);
    CHECK(read.serverCrashes[0].server.value == "s-1");
    CHECK(read.serverCrashes[0].ago == milliseconds{30});
    REQUIRE(read.serverCrashes[0].subjects.size() == 2);
    CHECK(read.serverCrashes[0].subjects[0].digest == digest);
    CHECK(read.serverCrashes[0].subjects[0].sentAgo == milliseconds{70});
    CHECK(read.serverCrashes[0].subjects[0].breadth == 2);
    CHECK(read.serverCrashes[0].subjects[0].shared == digestOfTexts({"part"}));
    CHECK(read.serverCrashes[1].subjects.empty());
}

TEST_CASE("a quarantine frame keeps level, version and remaining time of each request")
{
    const auto digest = requestDigestOf({customer_id("c"), "h", "/p", "body"});
    for (const auto &row : enumNames<quarantine_level>) {
        INFO("level " << row.name);
        const quarantine_frame sent{
            vm_id("n1"), {{digest, row.value, 17, milliseconds{-5}, 2, true, milliseconds{90}}}};
        const auto read = roundTrip(sent);
        CHECK(read.host.value == "n1");
        REQUIRE(read.entries.size() == 1);
        CHECK(read.entries[0].request == digest);
        CHECK(read.entries[0].level == row.value);
        CHECK(read.entries[0].version == 17);
        CHECK(read.entries[0].remaining == milliseconds{-5});
        CHECK(read.entries[0].quarantineCount == 2);
        CHECK(read.entries[0].isPart);
        CHECK(read.entries[0].disputableAgo == milliseconds{90});
    }
}

TEST_CASE("trial frames keep the digest of the request")
{
    const auto digest = requestDigestOf({customer_id("c"), "h", "/p", "body"});
    CHECK(roundTrip(trial_request{digest}).request == digest);
    CHECK(roundTrip(trial_end{digest}).request == digest);
    for (const bool granted : {false, true}) {
        const auto read = roundTrip(trial_answer{digest, granted});
        CHECK(read.request == digest);
        CHECK(read.granted == granted);
    }
}

TEST_CASE("a leaving servers frame keeps the start of each server")
{
    leaving_servers_frame frame;
    frame.servers = {{backend_server_id("i-1"), 1000}, {backend_server_id("i-2"), std::nullopt}};
    const auto got = roundTrip(frame);
    CHECK(got.servers == frame.servers);
}

TEST_CASE("a brittle servers frame keeps the start and the limit of each server")
{
    brittle_servers_frame frame;
    frame.servers = {{{backend_server_id("i-1"), 1000}, 2},
                     {{backend_server_id("i-2"), std::nullopt}, 0}};
    const auto got = roundTrip(frame);
    CHECK(got.servers == frame.servers);
}

TEST_CASE("a lost data centre frame keeps the name of the data centre")
{
    CHECK(roundTrip(lost_data_center_frame{data_center_id("dc-1")}).dataCenter.value == "dc-1");
}
