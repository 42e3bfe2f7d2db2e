#include "standins/proof_report.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace orchidlead::standins {

namespace {

constexpr std::size_t BreachesShown = 5;

template <class Condition>
std::size_t countRequests(const run_evidence &evidence, Condition condition)
{
    return static_cast<std::size_t>(
        std::count_if(evidence.requests.begin(), evidence.requests.end(), condition));
}

bool saysNotRun(const caller_record &request)
{
    return request.end == caller_end::NotRun
        || std::any_of(request.sends.begin(), request.sends.end(),
                       [](const caller_send &send) { return send.outcome == "not_run"; });
}

std::size_t countStops(const run_evidence &evidence)
{
    std::size_t stops = 0;
    for (const auto &[entry, list] : evidence.plannedStops)
        stops += list.size();
    return stops;
}

std::size_t countHistories(const run_evidence &evidence, proof_point point)
{
    switch (point) {
    case proof_point::ResultsBound:
        return evidence.requests.size();
    case proof_point::WholeAnswers:
        return countRequests(
            evidence, [](const caller_record &one) { return one.end == caller_end::Answered; });
    case proof_point::NotRunTrue:
        return countRequests(evidence, saysNotRun);
    case proof_point::AtMostOnce:
        return countRequests(evidence, [](const caller_record &one) { return !one.repeatable; });
    case proof_point::LeavingServers:
        return evidence.leaving.size();
    case proof_point::PlannedStops:
        return countStops(evidence);
    case proof_point::ConfigurationForward:
        return evidence.versions.size();
    }
    return 0;
}

std::string kindsOf(const std::vector<disruption> &disruptions)
{
    std::map<std::string_view, std::size_t> kinds;
    for (const disruption &one : disruptions)
        ++kinds[toName(one.kind)];
    std::string text;
    for (const auto &[name, count] : kinds)
        text += (text.empty() ? "" : ", ") + std::string(name);
    return text;
}

} // namespace

proof_report reportOf(const run_evidence &evidence, const std::vector<disruption> &disruptions)
{
    proof_report report;
    report.disruptions = disruptions;
    const auto breaches = checkHistories(evidence);
    for (const auto &row : enumNames<proof_point>) {
        point_report point{row.value, countHistories(evidence, row.value), {}};
        std::copy_if(
            breaches.begin(), breaches.end(), std::back_inserter(point.breaches),
            [&row](const proof_breach &breach) { return pointOf(breach.kind) == row.value; });
        ++(point.held() ? report.held : report.broken);
        report.points.push_back(std::move(point));
    }
    return report;
}

std::string toText(const proof_report &report)
{
    std::ostringstream text;
    const std::string kinds = kindsOf(report.disruptions);
    for (const point_report &point : report.points) {
        text << toName(point.point) << ": ";
        if (point.held())
            text << "held";
        else if (point.histories == 0)
            text << "not shown";
        else
            text << "broken " << point.breaches.size() << " times";
        text << " (" << point.histories << " histories, " << report.disruptions.size()
             << " faults of kinds " << kinds << ")\n";
        const std::size_t shown = std::min(point.breaches.size(), BreachesShown);
        for (std::size_t i = 0; i < shown; ++i)
            text << "  " << toName(point.breaches[i].kind) << ": " << point.breaches[i].what
                 << '\n';
    }
    return text.str();
}

} // namespace orchidlead::standins
