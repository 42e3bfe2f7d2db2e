#include "standins/fault_schedule.h"

#include <algorithm>
#include <random>

namespace orchidlead::standins {

namespace {

constexpr milliseconds FirstAt{3000}; // until then nothing happens
constexpr std::array ServerFaults{
    fault_kind::Slow,      fault_kind::Stall,       fault_kind::Close,
    fault_kind::Refuse,    fault_kind::Late,        fault_kind::ForeignRequest,
    fault_kind::Duplicate, fault_kind::WrongLength, fault_kind::LostReports,
    fault_kind::Hang,      fault_kind::Down};

/// Kinds of disruptions of which one at a time happens.
struct lane
{
    std::vector<disruption_kind> kinds;
    std::vector<std::string> targets;
    milliseconds shortest{0};
    milliseconds longest{0};
    milliseconds shortestGap{0};
    milliseconds longestGap{0};
};

class schedule_drawer
{
public:
    schedule_drawer(milliseconds length, std::uint64_t seed)
        : m_length(length)
        , m_random(seed)
    { }

    // Goes through the kinds in a drawn order, so that each comes before any comes again.
    void draw(const lane &one)
    {
        std::vector<disruption_kind> kinds = one.kinds;
        std::shuffle(kinds.begin(), kinds.end(), m_random);
        milliseconds at = FirstAt + between(milliseconds{0}, one.longestGap);
        for (std::size_t i = 0;; ++i) {
            disruption drawn;
            drawn.kind = kinds[i % kinds.size()];
            drawn.at = at;
            drawn.length = between(one.shortest, one.longest);
            if (!one.targets.empty())
                drawn.target = one.targets[m_random() % one.targets.size()];
            drawn.serverFault = ServerFaults[m_random() % ServerFaults.size()];
            at += drawn.length + between(one.shortestGap, one.longestGap);
            if (drawn.at + drawn.length > m_length)
                return;
            m_drawn.push_back(std::move(drawn));
        }
    }

    std::vector<disruption> finish()
    {
        std::stable_sort(m_drawn.begin(), m_drawn.end(),
                         [](const disruption &a, const disruption &b) { return a.at < b.at; });
        return std::move(m_drawn);
    }

private:
    milliseconds between(milliseconds shortest, milliseconds longest)
    {
        return milliseconds{std::uniform_int_distribution<std::int64_t>(shortest.count(),
                                                                        longest.count())(m_random)};
    }

    milliseconds m_length;
    std::mt19937_64 m_random;
    std::vector<disruption> m_drawn;
};

} // namespace

std::vector<disruption> drawSchedule(const disruption_targets &targets, milliseconds length,
                                     std::uint64_t seed)
{
    using std::chrono::seconds;
    using kind = disruption_kind;
    schedule_drawer drawer(length, seed);
    for (const auto &vms : targets.vmsOfDataCenters)
        drawer.draw({{kind::KillVm, kind::FreezeVm, kind::StopVm},
                     vms,
                     seconds{4},
                     seconds{9},
                     seconds{3},
                     seconds{6}});
    drawer.draw({{kind::CutDataCenter},
                 targets.dataCenters,
                 seconds{5},
                 seconds{9},
                 seconds{8},
                 seconds{14}});
    drawer.draw({{kind::PlatformDown, kind::PlatformHangs, kind::ConfigurationStale},
                 {},
                 seconds{4},
                 seconds{8},
                 seconds{4},
                 seconds{8}});
    drawer.draw({{kind::Publish, kind::PublishRacing, kind::PublishInvalid},
                 {},
                 seconds{0},
                 seconds{0},
                 seconds{3},
                 seconds{6}});
    drawer.draw(
        {{kind::ServerLeaves}, targets.servers, seconds{6}, seconds{9}, seconds{3}, seconds{6}});
    drawer.draw(
        {{kind::ServerFails}, targets.servers, seconds{2}, seconds{5}, seconds{1}, seconds{3}});
    return drawer.finish();
}

} // namespace orchidlead::standins
