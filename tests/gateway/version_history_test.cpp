// Guards against streams whose version is taken from the servers that are published now although
// others were ready when the stream began, and against streams that are refused without need.
#include "gateway/publication/store_history.h"
#include "gateway/servers/version_history.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::gateway;
using namespace std::chrono_literals;

namespace {

const service_id Service("engine");
const software_version V1("v1");
const software_version V2("v2");
const software_version V3("v3");
constexpr int Subjects = 2000;
constexpr std::uint64_t LongAgo = 1'000'000;

request_digest subject(int number)
{
    return digestOfTexts({"subject", std::to_string(number)});
}

ready_change change(const std::string &id, const software_version &version, bool ready)
{
    return {Service, backend_server_id(id), version, ready};
}

struct fixture
{
    manual_clock clock;
    version_history history{clock};

    void add(const software_version &version, int count)
    {
        for (int i = 0; i < count; ++i)
            history.record(change(version.value + "-" + std::to_string(i), version, true));
    }
    void remove(const software_version &version, int count)
    {
        for (int i = 0; i < count; ++i)
            history.record(change(version.value + "-" + std::to_string(i), version, false));
    }
    /// Returns how many subjects are assigned to a version now.
    [[nodiscard]] int countNow(const software_version &version) const
    {
        int count = 0;
        for (int i = 0; i < Subjects; ++i)
            count += history.assigned(subject(i), Service) == version ? 1 : 0;
        return count;
    }
    /// Returns how many subjects were certainly assigned to a version since then.
    [[nodiscard]] int countSince(const software_version &version, milliseconds age) const
    {
        int count = 0;
        for (int i = 0; i < Subjects; ++i)
            count +=
                history.assignedSince(subject(i), Service, clock.now() - age) == version ? 1 : 0;
        return count;
    }
};

published_server published(const std::string &id, const software_version &version,
                           std::uint64_t revision, std::uint64_t created,
                           std::uint64_t startedAt = LongAgo, bool leaving = false)
{
    published_server entry;
    entry.record.id = backend_server_id(id);
    entry.record.service = Service;
    entry.record.version = version;
    entry.record.startedAt = startedAt;
    entry.record.leaving = leaving;
    entry.revision = revision;
    entry.created = created;
    return entry;
}

removed_server removed(const std::string &id, std::uint64_t revision)
{
    return {backend_server_id(id), revision};
}

std::uint64_t unixTime(wall_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

} // namespace

TEST_CASE("each version gets a share of the streams that is proportional to its servers")
{
    fixture f;
    f.add(V1, 12);
    f.add(V2, 4);
    CHECK(f.countNow(V2) > Subjects / 5);
    CHECK(f.countNow(V2) < Subjects * 3 / 10);
    CHECK(f.countNow(V1) + f.countNow(V2) == Subjects);
}

TEST_CASE("a version that left while streams were open makes only its own streams uncertain")
{
    fixture f;
    f.add(V1, 8);
    f.add(V2, 8);
    f.clock.advance(30s);
    const int before = f.countNow(V2);
    f.remove(V1, 8);
    CHECK(f.countSince(V2, 10s) == before);
    CHECK(f.countSince(V1, 10s) == 0);
    f.clock.advance(11s);
    CHECK(f.countSince(V2, 10s) == Subjects);
}

TEST_CASE("a third version takes only its share of the streams of the second one")
{
    fixture f;
    f.add(V1, 9);
    f.add(V2, 9);
    f.clock.advance(30s);
    const int before = f.countNow(V2);
    f.add(V3, 9);
    f.remove(V1, 9);
    CHECK(f.countSince(V2, 10s) > before * 2 / 5);
}

TEST_CASE("nothing is known of the time before the first list, or of a time without contact")
{
    fixture f;
    f.add(V1, 4);
    f.clock.advance(5s);
    CHECK(f.history.covers(Service, f.clock.now() - 5s));
    CHECK_FALSE(f.history.covers(Service, f.clock.now() - 6s));
    f.history.forgetBeforeNow();
    f.clock.advance(2s);
    CHECK_FALSE(f.history.covers(Service, f.clock.now() - 5s));
}

TEST_CASE(
    "servers that are no longer ready are dropped after a while, and with them what they show")
{
    fixture f;
    f.add(V1, 2);
    f.add(V2, 2);
    f.remove(V1, 2);
    f.clock.advance(version_history::Memory + 1s);
    f.history.record(change("v2-0", V2, false));
    CHECK_FALSE(f.history.covers(Service, f.clock.now() - version_history::Memory - 1s));
    CHECK(f.history.covers(Service, f.clock.now() - version_history::Memory));
}

TEST_CASE("a server that left without a trace of its version makes only its share uncertain")
{
    fixture f;
    f.add(V1, 9);
    store_history history;
    history.after = 100;
    for (int i = 0; i < 9; ++i)
        history.present.emplace_back(published("v1-" + std::to_string(i), V1, 50, 50));
    history.changes.emplace_back(removed("gone", 101));
    const auto times = readyTimesOf(history, f.clock.wallNow() - 20s);
    REQUIRE(times);
    f.history.addEarlier(*times, f.clock.now() - 20s);
    CHECK(f.history.covers(Service, f.clock.now() - 20s));
    CHECK_FALSE(f.history.hadOneVersionSince(Service, f.clock.now() - 10s));
    CHECK(f.countSince(V1, 10s) > Subjects * 85 / 100);
    CHECK(f.countSince(V1, 10s) < Subjects * 95 / 100);
}

TEST_CASE("the history of the store shows the versions of servers that left")
{
    fixture f;
    f.add(V2, 2);
    store_history history;
    history.after = 100;
    const auto born = unixTime(f.clock.wallNow() - 2s);
    for (std::uint64_t i = 0; i < 2; ++i) {
        const auto number = std::to_string(i);
        history.changes.emplace_back(published("v2-" + number, V2, 101 + 3 * i, 101 + 3 * i, born));
        history.changes.emplace_back(published("v1-" + number, V1, 102 + 3 * i, 7, LongAgo, true));
        history.changes.emplace_back(removed("v1-" + number, 103 + 3 * i));
        history.present.emplace_back(published("v2-" + number, V2, 101 + 3 * i, 101 + 3 * i, born));
    }
    const auto times = readyTimesOf(history, f.clock.wallNow() - 20s);
    REQUIRE(times);
    f.history.addEarlier(*times, f.clock.now() - 20s);
    // A stream may have begun on the old version before the new one came, whichever ranks higher.
    CHECK(f.countSince(V1, 10s) == 0);
    CHECK(f.countSince(V2, 10s) == 0);
}

TEST_CASE("a server that started again under its id with another version is seen in the history")
{
    fixture f;
    f.add(V2, 1);
    store_history history;
    history.after = 100;
    const auto born = unixTime(f.clock.wallNow() - 2s);
    history.changes.emplace_back(published("v2-0", V2, 101, 7, born));
    history.present.emplace_back(published("v2-0", V2, 101, 7, born));
    const auto times = readyTimesOf(history, f.clock.wallNow() - 20s);
    REQUIRE(times);
    f.history.addEarlier(*times, f.clock.now() - 20s);
    CHECK(f.countSince(V2, 10s) == 0);
}

TEST_CASE("a release that ended before the stream began does not make it uncertain")
{
    fixture f;
    f.add(V2, 4);
    store_history history;
    history.after = 100;
    for (std::uint64_t i = 0; i < 4; ++i) {
        const auto born = unixTime(f.clock.wallNow() - 18s);
        const auto entry = published("v2-" + std::to_string(i), V2, 101 + i, 101 + i, born);
        history.changes.emplace_back(entry);
        history.present.emplace_back(entry);
    }
    const auto times = readyTimesOf(history, f.clock.wallNow() - 20s);
    REQUIRE(times);
    f.history.addEarlier(*times, f.clock.now() - 20s);
    CHECK(f.countSince(V2, 10s) == Subjects);
}

TEST_CASE("a history from which younger entries than it should show are missing is not used")
{
    const manual_clock clock;
    store_history history;
    history.after = 100;
    history.present.emplace_back(published("v2-0", V2, 90, 90, unixTime(clock.wallNow() - 10s)));
    CHECK_FALSE(readyTimesOf(history, clock.wallNow() - 20s));
    history.isWhole = true;
    CHECK(readyTimesOf(history, clock.wallNow() - 20s));
}

// Guards against servers that are taken for ready since the first list, although they were added
// later, once the history of the store shows them too: a stream that began before them would be
// joined.
TEST_CASE("a server that was added after the first list hides nobody before it, whatever the "
          "history shows")
{
    fixture f;
    f.add(V1, 4);
    f.clock.advance(30s);
    store_history history;
    history.after = 100;
    const auto born = unixTime(f.clock.wallNow());
    for (std::uint64_t i = 0; i < 4; ++i) {
        const auto number = std::to_string(i);
        const auto entry = published("v2-" + number, V2, 101 + i, 101 + i, born);
        history.changes.emplace_back(entry);
        history.present.emplace_back(entry);
        history.present.emplace_back(published("v1-" + number, V1, 1 + i, 1 + i));
    }
    f.add(V2, 4);
    f.clock.advance(4s);
    REQUIRE(f.countSince(V2, 8s) == 0);
    const auto times = readyTimesOf(history, f.clock.wallNow() - 60s);
    REQUIRE(times);
    f.history.addEarlier(*times, f.clock.now() - 60s);
    CHECK(f.countSince(V2, 8s) == 0);
}
