#include "standins/workload.h"

#include "standins/proof_marker.h"
#include "standins/yaml_fields.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace orchidlead::standins {

namespace {

using std::chrono::microseconds;

work_class readClass(const YAML::Node &node)
{
    work_class kind;
    readFields(node,
               {{"name", into(kind.name)},
                {"customer", into(kind.customer)},
                {"pipeline", into(kind.pipeline)},
                {"rate", into(kind.rate)},
                {"bytes", into(kind.bytes)},
                {"sigma", into(kind.sigma)},
                {"max_bytes", into(kind.maxBytes)},
                {"prefixes", into(kind.prefixes)},
                {"prefix_bytes", into(kind.prefixBytes)},
                {"deadline_ms", intoMillis(kind.deadline)},
                {"repeatable", into(kind.repeatable)},
                {"identity", intoEnum(kind.identity)},
                {"stream", into(kind.stream)},
                {"stages", into(kind.stages)},
                {"models", into(kind.models)},
                {"once", into(kind.once)}});
    if (kind.rate <= 0.0)
        throw YAML::RepresentationException(node.Mark(), "expected a rate above 0");
    return kind;
}

work_burst readBurst(const YAML::Node &node)
{
    work_burst burst;
    readFields(node,
               {{"at_ms", intoMillis(burst.at)},
                {"length_ms", intoMillis(burst.length)},
                {"factor", into(burst.factor)}});
    return burst;
}

double factorAt(const workload &work, microseconds at)
{
    double factor = 1.0;
    for (const work_burst &burst : work.bursts) {
        if (at >= burst.at && at < burst.at + burst.length)
            factor = std::max(factor, burst.factor);
    }
    return factor;
}

double highestFactor(const workload &work)
{
    double factor = 1.0;
    for (const work_burst &burst : work.bursts)
        factor = std::max(factor, burst.factor);
    return factor;
}

planned_request drawRequest(const workload &work, std::size_t index, microseconds at,
                            std::mt19937_64 &random)
{
    const work_class &kind = work.classes[index];
    planned_request request;
    request.at = at;
    request.workClass = index;
    const double length = static_cast<double>(kind.bytes)
        * std::lognormal_distribution<double>(0.0, kind.sigma)(random);
    request.bytes =
        static_cast<std::uint32_t>(std::min(length, static_cast<double>(kind.maxBytes)));
    request.nonce = toHex(random());
    if (kind.prefixes > 0)
        request.prefix = static_cast<std::uint32_t>(random() % kind.prefixes);
    return request;
}

void appendFiller(std::string &text, std::size_t bytes)
{
    constexpr std::string_view Filler = "the committee met and read the minutes of the year ";
    const std::size_t end = text.size() + bytes;
    while (text.size() < end)
        text += Filler.substr(0, end - text.size());
}

} // namespace

result<workload, workload_error> parseWorkload(std::string_view yaml)
{
    workload work;
    const auto readClasses = [&work](const YAML::Node &list) {
        for (const YAML::Node &node : list)
            work.classes.push_back(readClass(node));
    };
    const auto readBursts = [&work](const YAML::Node &list) {
        for (const YAML::Node &node : list)
            work.bursts.push_back(readBurst(node));
    };
    try {
        readFields(YAML::Load(std::string(yaml)),
                   {{"classes", readClasses}, {"bursts", readBursts}});
    } catch (const YAML::Exception &error) {
        return workload_error{error.what()};
    }
    if (work.classes.empty())
        return workload_error{"expected at least one class"};
    return work;
}

// Arrivals are drawn at the highest rate and thinned to the rate of their time.
std::vector<planned_request> planArrivals(const workload &work, const plan_bounds &bounds,
                                          std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> rates;
    double total = 0.0;
    for (const work_class &kind : work.classes) {
        rates.push_back(kind.rate);
        total += kind.rate;
    }
    const double highest = highestFactor(work);
    std::exponential_distribution<double> gap(total * highest);
    std::discrete_distribution<std::size_t> pick(rates.begin(), rates.end());
    std::uniform_real_distribution<double> share(0.0, highest);
    std::vector<planned_request> plan;
    double seconds = 0.0;
    while (bounds.requests == 0 || plan.size() < bounds.requests) {
        seconds += gap(random);
        const microseconds at{std::llround(seconds * 1e6)};
        if (bounds.length.count() > 0 && at >= bounds.length)
            break;
        if (bounds.length.count() == 0 && bounds.requests == 0)
            break;
        if (share(random) < factorAt(work, at))
            plan.push_back(drawRequest(work, pick(random), at, random));
    }
    return plan;
}

std::string makeText(const work_class &kind, const planned_request &request)
{
    std::string text;
    if (kind.prefixes > 0) {
        text = kind.name + " archive " + std::to_string(request.prefix) + ": ";
        appendFiller(text, kind.prefixBytes);
    }
    text += nonceText(request.nonce) + " ";
    appendFiller(text, request.bytes);
    return text;
}

} // namespace orchidlead::standins
