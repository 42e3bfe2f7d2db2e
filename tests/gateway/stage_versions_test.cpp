// Guards against stages of one request that are computed at several software versions of a service.
#include "gateway/stages/stage_versions.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

const service_id Service("p");
const software_version Old("v1");
const software_version New("v2");
constexpr milliseconds ColdTime{60'000};
constexpr int Subjects = 2000;

struct directory_fixture
{
    void add(int count, const software_version &version, milliseconds cold = {})
    {
        for (int i = 0; i < count; ++i) {
            server_record record;
            record.id = backend_server_id(version.value + "-" + std::to_string(i));
            record.service = Service;
            record.dataCenter = data_center_id("z");
            record.version = version;
            directory.put(record, cold);
        }
    }
    /// Returns the number of requests to which each version is assigned.
    std::map<software_version, int> assigned()
    {
        std::map<software_version, int> counts;
        for (int i = 0; i < Subjects; ++i) {
            const auto subject = digestOfTexts({"c", std::to_string(i)});
            const auto version =
                assignStageVersion(directory, {Service, {}, {}}, subject, clock.now());
            if (version)
                ++counts[*version];
        }
        return counts;
    }

    manual_clock clock;
    server_directory directory{clock};
};

} // namespace

TEST_CASE("each version of a stage's service gets requests in proportion to its servers")
{
    directory_fixture w;
    CHECK(w.assigned().empty());
    w.add(3, Old);
    CHECK(w.assigned() == std::map<software_version, int>{{Old, Subjects}});
    w.add(1, New);
    // A quarter of the requests, within four standard deviations.
    CHECK(w.assigned()[New] > Subjects / 4 - 80);
    CHECK(w.assigned()[New] < Subjects / 4 + 80);
}

TEST_CASE("a version of which all servers are cold gets no requests while others are at full speed")
{
    directory_fixture w;
    w.directory.setColdStart(Service, {ColdTime, 1.0});
    w.add(2, Old);
    w.add(2, New, ColdTime);
    CHECK(w.assigned() == std::map<software_version, int>{{Old, Subjects}});
}

TEST_CASE("versions count as several for a while after the last server of one has gone")
{
    directory_fixture w;
    w.add(1, Old);
    CHECK_FALSE(hadSeveralVersions(w.directory, Service, w.clock.now()));
    w.add(1, New);
    CHECK(hadSeveralVersions(w.directory, Service, w.clock.now()));
    w.directory.remove(backend_server_id("v1-0"));
    CHECK(hadSeveralVersions(w.directory, Service, w.clock.now()));
    w.clock.advance(milliseconds{120'000});
    CHECK_FALSE(hadSeveralVersions(w.directory, Service, w.clock.now()));
}

TEST_CASE("the first result of a service determines the version of a request's others")
{
    stage_versions versions;
    CHECK_FALSE(versions.of(Service));
    versions.assign(Service, Old);
    CHECK(versions.of(Service) == Old);
    CHECK(versions.accept(Service, New));
    CHECK(versions.of(Service) == New);
    CHECK_FALSE(versions.accept(Service, Old));
    versions.assign(Service, Old);
    CHECK(versions.of(Service) == New);
    CHECK(versions.accept(service_id("q"), Old));
}

TEST_CASE("another version may be assigned once the results of the first one are given up")
{
    stage_versions versions;
    CHECK(versions.accept(Service, Old));
    versions.onRestart();
    CHECK(versions.of(Service) == Old);
    versions.assign(Service, std::nullopt);
    CHECK(versions.of(Service) == Old);
    versions.assign(Service, New);
    CHECK(versions.of(Service) == New);
}
