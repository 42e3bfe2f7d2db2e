#include "bench/user_fleet.h"

#include <fstream>
#include <iterator>
#include <optional>
#include <vector>

namespace orchidlead::bench {

namespace {

using standins::fleet_data_center;
using standins::fleet_layout;
using standins::fleet_service;

/// Numbers of one user's machines.
struct user_sizes
{
    std::vector<fleet_data_center> dataCenters;
    std::uint32_t entryVms = 6;
    std::uint32_t runners = 12;
    /// Of one decoding step. One machine plays all runners, so steps are few and slow; with these
    /// the rates of the workload files fill them.
    double runnerStepMs = 35;
};

constexpr std::uint32_t RunnerBatch = 4;

std::optional<user_sizes> sizesOf(const std::string &user)
{
    if (user == "vilistlasvork")
        return user_sizes{{{"ulemiste-1", "tallinn"},
                           {"ulemiste-2", "tallinn"},
                           {"lasnamae", "tallinn"},
                           {"mustamae", "tallinn"}},
                          6,
                          12,
                          35};
    if (user == "ruta-lactea")
        return user_sizes{{{"xela-1", "altiplano"},
                           {"xela-2", "altiplano"},
                           {"totonicapan", "altiplano"},
                           {"san-marcos", "altiplano"}},
                          6,
                          18,
                          39};
    return std::nullopt;
}

/// Makes a service whose servers stand in the data centres in turn.
fleet_service makeService(const user_sizes &sizes, const std::string &name, service_kind kind,
                          std::uint32_t count)
{
    fleet_service service;
    service.name = name;
    service.kind = kind;
    for (std::uint32_t at = 0; at < count; ++at) {
        const auto &home = sizes.dataCenters[at % sizes.dataCenters.size()];
        service.servers.push_back({name + "-" + std::to_string(at + 1), home.name, {}});
    }
    return service;
}

fleet_layout makeLayout(const user_sizes &sizes)
{
    fleet_layout layout;
    layout.dataCenters = sizes.dataCenters;
    for (std::uint32_t at = 0; at < sizes.entryVms; ++at) {
        const auto &home = sizes.dataCenters[at % sizes.dataCenters.size()];
        layout.vms.push_back(
            {"vm-" + std::to_string(at + 1), home.name, home.region, {}, {}, {}, {}});
    }
    auto runners = makeService(sizes, "runners", service_kind::Engine, sizes.runners);
    runners.models = {"small", "large"};
    runners.baseMs = sizes.runnerStepMs;
    runners.capacity = RunnerBatch;
    auto ledger = makeService(sizes, "ledger", service_kind::Plain, 5);
    ledger.repeatable = false;
    ledger.baseMs = 15;
    layout.services = {makeService(sizes, "encoders", service_kind::Encoder, 4),
                       makeService(sizes, "retrievers", service_kind::Retriever, 4),
                       makeService(sizes, "rerankers", service_kind::Reranker, 4),
                       runners,
                       makeService(sizes, "records", service_kind::Plain, 4),
                       ledger};
    return layout;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream in(path);
    if (!in)
        return std::nullopt;
    return std::string{std::istreambuf_iterator<char>(in), {}};
}

} // namespace

result<user_fleet, user_fleet_error> makeUserFleet(const std::string &user,
                                                   const std::string &directory)
{
    const auto sizes = sizesOf(user);
    const std::string path = directory + "/" + user;
    const auto templates = readFile(path + ".templates.yaml");
    const auto requests = readFile(path + ".yaml");
    if (!sizes || !templates || !requests)
        return failure(user_fleet_error{"no such user, or no files: " + path});
    auto work = standins::parseWorkload(*requests);
    if (!work)
        return failure(user_fleet_error{path + ".yaml: " + work.error().what});
    return user_fleet{makeLayout(*sizes), *templates, std::move(work).value()};
}

} // namespace orchidlead::bench
