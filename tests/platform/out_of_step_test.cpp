// Guards against streams that hold events of two software versions because a gateway continues them
// by a list that is older than the stream: it was cut off, or its peers and the store are slow,
// while servers of a new version joined. And against the other side: streams that such a gateway
// refuses although the store or a peer can still tell it where they began.
#include "version_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

/// Until all gateways that reach the store have a change: a node pauses between two watches.
constexpr milliseconds PublicationTime{300};
/// After this time a gateway knows all versions since any of the streams may have begun.
constexpr milliseconds KnownTime{6500};

/// Gateways whose links to the store and to each other can be cut; the first version serves.
struct out_of_step_world : version_world
{
    out_of_step_world()
        : version_world({"v1"}, true)
    {
        runFor(KnownTime);
    }

    /// Cuts all links between gateways, silently.
    void silencePeers()
    {
        for (const auto *each : {"g1", "g2", "g3", "g4"})
            cutFromPeers(each, cut_kind::Hang);
    }

    /// A second version joins, and streams begin at another gateway and break off.
    std::vector<stream> beginAmidRelease()
    {
        addVersion("v2", unixTime());
        runFor(PublicationTime);
        auto streams = begin("g1");
        breakOff(streams);
        int ofNew = 0;
        for (const auto &each : streams)
            ofNew += versionsIn(each.received).contains("v2") ? 1 : 0;
        REQUIRE(ofNew > 0);
        REQUIRE(ofNew < Streams);
        return streams;
    }
};

void checkNoneJoined(const version_world::counts &counts)
{
    INFO("continued " << counts.continued << ", refused " << counts.refused);
    CHECK(counts.joined == 0);
    CHECK(counts.continued + counts.refused == Streams);
}

void checkContinued(const version_world::counts &counts)
{
    checkNoneJoined(counts);
    INFO("continued " << counts.continued);
    CHECK(counts.continued >= MinContinued);
}

} // namespace

// A list that was read a moment ago was taken for the list at the time of the request.
TEST_CASE("no stream is joined at a gateway that was cut off before its version joined")
{
    out_of_step_world w;
    const milliseconds before{GENERATE(50, 800)};
    w.cutFromStore("g3");
    w.silencePeers();
    w.runFor(before);
    auto streams = w.beginAmidRelease();
    checkNoneJoined(w.resumeAll(streams, "g3"));
}

// While a release is younger than the stream may be, only a record tells the version of a stream
// that the new servers may have won; then only those of the servers that were there before go on.
TEST_CASE("streams continue at a gateway that the store answers while its peers are silent")
{
    out_of_step_world w;
    w.silencePeers();
    const bool known = GENERATE(false, true);
    w.addVersion("v2", w.unixTime());
    w.runFor(known ? KnownTime : PublicationTime);
    auto streams = w.begin("g1");
    w.breakOff(streams);
    const auto ofOld = static_cast<int>(std::ranges::count_if(
        streams, [](const auto &each) { return versionsIn(each.received).contains("v1"); }));
    REQUIRE(ofOld < Streams);
    const auto counts = w.resumeAll(streams, "g3");
    checkNoneJoined(counts);
    CHECK(counts.continued >= (known ? MinContinued : ofOld));
}

// A gateway that didn't know the servers of a stream's version refused it, although its peers did.
TEST_CASE("streams continue at a gateway that only the store doesn't answer")
{
    out_of_step_world w;
    const milliseconds before{GENERATE(50, 800)};
    w.cutFromStore("g3");
    w.runFor(before);
    auto streams = w.beginAmidRelease();
    checkContinued(w.resumeAll(streams, "g3"));
}

TEST_CASE("streams continue at a gateway that the store doesn't answer after the gateway that "
          "began them ended")
{
    out_of_step_world w;
    w.cutFromStore("g3");
    w.runFor(milliseconds{50});
    auto streams = w.beginAmidRelease();
    w.killGateway("g1");
    checkContinued(w.resumeAll(streams, "g3"));
}

TEST_CASE("streams of the only version continue in an outage of the store")
{
    out_of_step_world w;
    auto streams = w.begin("g1");
    w.breakOff(streams);
    for (const auto *each : {"g1", "g2", "g3", "g4"})
        w.cutFromStore(each);
    w.runFor(milliseconds{3000});
    checkContinued(w.resumeAll(streams, "g3"));
}
