#include "core/configuration/published_configuration.h"
#include "core/settings/settings.h"
#include "standins/backend_process.h"
#include "standins/demo_fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace orchidlead;
using namespace orchidlead::standins;

namespace {

demo_size twoDataCenters()
{
    return {{{"north-1", "north"}, {"south-1", "south"}}, 2, 1};
}

std::string messages(const std::vector<configuration_error> &errors)
{
    std::string text;
    for (const configuration_error &error : errors)
        text += error.message() + "\n";
    return text;
}

// The marks that a plan's stages leave: the model's name for engines, the stage's for others.
std::vector<std::string> marksOf(const pipeline_plan &plan)
{
    std::vector<std::string> marks;
    for (const stage_plan &stage : plan.stages)
        marks.push_back(stage.kind == service_kind::Engine ? stage.model : stage.id.value);
    return marks;
}

} // namespace

TEST_CASE("the fleet's configuration is accepted and has the pipelines that its callers ask for")
{
    const fleet_layout layout = makeDemoLayout(twoDataCenters());
    const auto configuration = parsePublishedConfiguration(
        configurationYaml(layout, demoTemplatesAndCustomers(twoDataCenters())), "fleet", 1);
    INFO((configuration ? std::string() : messages(configuration.error())));
    REQUIRE(configuration);
    for (const work_class &kind : makeDemoWorkload(10.0, request_identity::Key).classes) {
        CAPTURE(kind.name);
        const auto plan = renderPipeline(*configuration.value(), customer_id(kind.customer),
                                         pipeline_id(kind.pipeline));
        REQUIRE(plan);
        std::vector<std::string> marks = kind.stages;
        marks.insert(marks.end(), kind.models.begin(), kind.models.end());
        CHECK(marksOf(*plan.value()) == marks);
        CHECK(plan.value()->repeatable() == kind.repeatable);
        CHECK(plan.value()->deadline >= kind.deadline);
    }
}

TEST_CASE("the fleet's settings and stand-ins' description are accepted, with ports of their own")
{
    const fleet_layout layout = makeDemoLayout(twoDataCenters());
    const fleet_platform platform{{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    std::set<std::uint16_t> ports;
    for (const fleet_vm &vm : layout.vms) {
        const auto settings = parseSettings(settingsYaml(vm, platform), vm.name);
        INFO((settings ? std::string() : messages(settings.error())));
        REQUIRE(settings);
        CHECK(settings.value().vm.value == vm.name);
        ports.insert({vm.caller.port, vm.operators.port, vm.peer.port});
    }
    CHECK(ports.size() == 3 * layout.vms.size());
    const auto process = parseBackendProcess(backendProcessYaml(layout, 1));
    INFO((process ? std::string() : process.error().what));
    REQUIRE(process);
    CHECK(process.value().servers.size() == 2 * layout.services.size());
}
