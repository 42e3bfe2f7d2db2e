#include "standins/negative_case.h"

namespace orchidlead::standins {

namespace {

using std::chrono::seconds;

disruption failing(const std::string &server, fault_kind kind)
{
    return {disruption_kind::ServerFails, seconds{1}, seconds{6}, server, kind};
}

disruption publishing(milliseconds at)
{
    return {disruption_kind::Publish, at, milliseconds{0}, {}, fault_kind::Slow};
}

// The service is set back to a configuration that is no longer in force, and shows it to those that
// watch it. Two VMs are replaced meanwhile.
std::vector<disruption> setBack()
{
    return {publishing(seconds{1}),
            publishing(seconds{2}),
            {disruption_kind::ConfigurationStale, seconds{4}, seconds{9}, {}, fault_kind::Stale},
            {disruption_kind::KillVm, seconds{5}, seconds{1}, "vm-1", fault_kind::Slow},
            {disruption_kind::KillVm, seconds{8}, seconds{1}, "vm-4", fault_kind::Slow}};
}

} // namespace

std::vector<negative_case> negativeCases()
{
    return {
        {"answer-guard",
         breach_kind::Misdelivered,
         {failing("encoder-1", fault_kind::ForeignRequest),
          failing("records-1", fault_kind::ForeignRequest)}},
        {"repeat-guard",
         breach_kind::RanTwice,
         {failing("ledger-1", fault_kind::Close), failing("ledger-3", fault_kind::Close)}},
        {"not-run-guard",
         breach_kind::RanAfterNotRun,
         {failing("records-1", fault_kind::Close), failing("records-3", fault_kind::Close)}},
        {"ticket-guard", breach_kind::RanTwice, {}},
        {"forward-guard", breach_kind::WentBack, setBack(), seconds{14}},
    };
}

} // namespace orchidlead::standins
