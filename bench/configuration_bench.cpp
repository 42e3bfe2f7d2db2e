#include "core/configuration/published_configuration.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

/// Measures how long a node takes to read a published configuration and to render a pipeline, and
/// what it keeps in memory, from today's size to the one that is built towards.
namespace orchidlead::bench {

namespace {

constexpr std::size_t CustomersOfEntry = 70;
constexpr std::size_t ServicesCount = 4;
constexpr int Repeats = 5;
constexpr int Renders = 20'000;

struct document_size
{
    std::size_t customers = 0;
    std::size_t servers = 0;
    std::size_t templates = 0;
};

constexpr std::array Sizes{
    document_size{5, 40, 5},
    document_size{210, 80, 5},
    document_size{2'100, 200, 10},
    document_size{21'000, 600, 17},
};

std::string dataCenter(std::size_t index)
{
    return "dc-" + std::to_string(index % 7);
}

void addServices(std::string &text, const document_size &size)
{
    constexpr std::array Kinds{"encoder", "retriever", "reranker", "engine"};
    text += "services:\n";
    for (std::size_t i = 0; i < ServicesCount; ++i) {
        text += "  - name: pool-" + std::to_string(i) + "\n    kind: " + Kinds.at(i) + "\n";
        if (i + 1 == ServicesCount)
            text += "    models: [m1, m2, m3]\n";
        text += "    servers:\n";
        for (std::size_t j = i; j < size.servers; j += ServicesCount) {
            text += "      - {name: server-" + std::to_string(j) + ", address: '127.0.0.1:"
                + std::to_string(10'000 + j) + "', data_center: " + dataCenter(j) + "}\n";
        }
    }
}

void addTemplates(std::string &text, const document_size &size)
{
    text += "templates:\n";
    for (std::size_t i = 0; i < size.templates; ++i) {
        text += "  - name: template-" + std::to_string(i) + R"(
    parameters:
      - {name: steps, type: stages, default: [encode, retrieve, rerank, generate]}
      - {name: deadline, type: duration, default: 2s, min: 100ms, max: 4s}
    deadline: ${deadline}
    run: ${steps}
    stages:
      - {name: encode, service: pool-0, after: []}
      - {name: retrieve, service: pool-1, after: [encode]}
      - {name: rerank, service: pool-2, after: [retrieve]}
      - {name: generate, service: pool-3, after: [rerank], model: m1, max_tokens: 100}
)";
    }
}

void addCustomers(std::string &text, const document_size &size)
{
    text += "customers:\n";
    for (std::size_t i = 0; i < size.customers; i += CustomersOfEntry) {
        text += "  - names: [";
        for (std::size_t j = i; j < std::min(i + CustomersOfEntry, size.customers); ++j)
            text += (j == i ? "customer-" : ", customer-") + std::to_string(j);
        text += "]\n    home_data_center: " + dataCenter(i / CustomersOfEntry);
        text += "\n    pipelines:\n";
        for (std::size_t k = 0; k < size.templates; ++k) {
            text += "      - {name: pipeline-" + std::to_string(k) + ", template: template-"
                + std::to_string(k) + ", parameters: {deadline: 3s}}\n";
        }
    }
}

std::string makeDocument(const document_size &size)
{
    std::string text = "format: 1\ndata_centers:\n";
    for (std::size_t i = 0; i < 7; ++i)
        text += "  - {name: " + dataCenter(i) + ", region: region-" + std::to_string(i % 2) + "}\n";
    addServices(text, size);
    addTemplates(text, size);
    addCustomers(text, size);
    return text + "...\n";
}

double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

/// Gives the mean time of one rendering, in microseconds.
double measureRendering(const published_configuration &configuration)
{
    constexpr std::size_t Step = 7'919; // visits customers far from each other
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < Renders; ++i) {
        const customer &each = configuration.customers[i * Step % configuration.customers.size()];
        const auto plan =
            renderPipeline(configuration, each.id, each.settings->pipelines.front().id);
        if (!plan)
            std::puts("a pipeline doesn't render");
    }
    return millisecondsSince(start) * 1'000 / Renders;
}

bool measure(const document_size &size)
{
    const std::string text = makeDocument(size);
    std::vector<double> times;
    configuration_ptr kept;
    const std::size_t before = mallinfo2().uordblks;
    for (int i = 0; i < Repeats; ++i) {
        kept.reset();
        const auto start = std::chrono::steady_clock::now();
        auto read = parsePublishedConfiguration(text, "bench", 1);
        times.push_back(millisecondsSince(start));
        if (!read) {
            std::puts(read.error().front().message().c_str());
            return false;
        }
        kept = std::move(read).value();
    }
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::sort(times.begin(), times.end());
    std::printf("%9zu %7zu %9zu %9zu %9.1f %9.1f %9zu %9.2f\n", size.customers, size.servers,
                size.templates, text.size() / 1024, times[Repeats / 2], times.back(), bytes / 1024,
                measureRendering(*kept));
    return true;
}

} // namespace

} // namespace orchidlead::bench

int main()
{
    std::puts("customers servers templates  size KiB parse ms    max ms  kept KiB render us");
    bool good = true;
    for (const auto &size : orchidlead::bench::Sizes)
        good = orchidlead::bench::measure(size) && good;
    return good ? 0 : 1;
}
