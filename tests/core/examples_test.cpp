#include "core/configuration/published_configuration.h"
#include "core/settings/settings.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace orchidlead {
namespace {

std::string readExample(const std::string &name)
{
    const char *source = std::getenv("ORCHIDLEAD_SOURCE");
    std::ifstream file(std::string(source != nullptr ? source : ".") + "/examples/" + name);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), {}};
}

struct example_document
{
    std::string file;
    std::size_t dataCenters;
    std::size_t runners;
    std::size_t customers;
};

} // namespace

TEST_CASE("the example configurations are valid and render for every customer")
{
    const example_document example = GENERATE(example_document{"vilistlasvork.yaml", 4, 12, 5},
                                              example_document{"ruta-lactea.yaml", 4, 18, 5});
    const auto read = parsePublishedConfiguration(readExample(example.file), example.file, 1);
    INFO((read ? "" : read.error().front().message()));
    REQUIRE(read);
    const published_configuration &configuration = *read.value();
    CHECK(configuration.dataCenters.size() == example.dataCenters);
    CHECK(configuration.findService(service_id("model-runners"))->servers.size()
          == example.runners);
    CHECK(configuration.customers.size() == example.customers);
    for (const auto &customer : configuration.customers) {
        for (const auto &pipeline : customer.settings->pipelines) {
            CAPTURE(customer.id.value, pipeline.id.value);
            CHECK(renderPipeline(configuration, customer.id, pipeline.id));
        }
    }
}

TEST_CASE("the example settings are valid")
{
    const auto read = parseSettings(readExample("settings.yaml"), "settings.yaml");
    INFO((read ? "" : read.error().front().message()));
    REQUIRE(read);
    CHECK(read.value().limits.maxInputBytes == limit_settings{}.maxInputBytes);
}

} // namespace orchidlead
