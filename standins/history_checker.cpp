#include "standins/history_checker.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace orchidlead::standins {

namespace {

using run_list = std::vector<const run_record *>;

bool isDisturbed(const std::map<std::string, std::vector<disturbance>> &disturbed,
                 const std::string &name, steady_time start, steady_time end)
{
    const auto found = disturbed.find(name);
    if (found == disturbed.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [start, end](const disturbance &one) { return one.touches(start, end); });
}

breach_kind kindOf(answer_fault fault)
{
    switch (fault) {
    case answer_fault::Foreign:
        return breach_kind::Misdelivered;
    case answer_fault::Changed:
        return breach_kind::Doubled;
    case answer_fault::Incomplete:
    case answer_fault::Malformed:
        break;
    }
    return breach_kind::Incomplete;
}

/// Holds what each check needs, and collects what they find.
class checker
{
public:
    checker(const run_evidence &evidence, const proof_bounds &bounds)
        : m_evidence(evidence)
        , m_bounds(bounds)
    {
        for (const run_record &run : evidence.runs)
            m_runs[run.nonce].push_back(&run);
    }

    std::vector<proof_breach> check()
    {
        for (const caller_record &request : m_evidence.requests) {
            checkAnswer(request);
            checkSends(request);
            checkNotRun(request);
            checkAtMostOnce(request);
            checkResultLost(request);
        }
        checkLeaving();
        checkVersionsOfNodes();
        checkVersionSpread();
        return std::move(m_breaches);
    }

private:
    void add(breach_kind kind, std::string what) { m_breaches.push_back({kind, std::move(what)}); }

    [[nodiscard]] const run_list &runsOf(const std::string &nonce) const
    {
        static const run_list none;
        const auto found = m_runs.find(nonce);
        return found == m_runs.end() ? none : found->second;
    }

    void checkAnswer(const caller_record &request)
    {
        for (const answer_fault fault : request.faults)
            add(kindOf(fault), request.nonce + ": " + std::string(toName(fault)) + " answer");
        if (request.end == caller_end::Lost)
            add(breach_kind::Lost, request.nonce + ": no outcome");
        if (request.end != caller_end::Answered)
            return;
        for (const std::string &stage : request.expectedStages) {
            if (!isAnsweredIn(request, stage))
                add(breach_kind::Incomplete,
                    request.nonce + ": answered, but no backend server answered " + stage);
        }
    }

    [[nodiscard]] bool isAnsweredIn(const caller_record &request, const std::string &stage) const
    {
        const run_list &runs = runsOf(request.nonce);
        return std::any_of(runs.begin(), runs.end(), [&stage](const run_record *run) {
            return run->stage == stage && run->end == run_end::Answered;
        });
    }

    // An entry VM that nothing was done to must answer each request that it read.
    void checkSends(const caller_record &request)
    {
        for (const caller_send &send : request.sends) {
            if (send.end == net::call_end::NotSent || send.end == net::call_end::Complete
                || send.hurried)
                continue;
            if (isDisturbed(m_evidence.disturbedEntries, send.entry, send.sent, send.ended))
                continue;
            const bool stopped =
                isDisturbed(m_evidence.plannedStops, send.entry, send.sent, send.ended);
            add(stopped ? breach_kind::CutOff : breach_kind::Lost,
                request.nonce + ": no answer from " + send.entry + " ("
                    + std::string(toName(send.end)) + ")");
        }
    }

    void checkNotRun(const caller_record &request)
    {
        const auto saysNotRun = [](const caller_send &send) { return send.outcome == "not_run"; };
        const bool any = std::any_of(request.sends.begin(), request.sends.end(), saysNotRun);
        const bool all =
            std::all_of(request.sends.begin(), request.sends.end(), [&](const caller_send &send) {
                return saysNotRun(send) || send.end == net::call_end::NotSent;
            });
        // A ticket or key stands for all sends; without one each send stands for itself.
        const bool covers = all || (any && request.identity != request_identity::None);
        if (!any && request.end != caller_end::NotRun)
            return;
        std::set<std::string> notRun;
        for (const caller_send &send : request.sends) {
            if (saysNotRun(send) && !send.request.empty())
                notRun.insert(send.request);
        }
        for (const run_record *run : runsOf(request.nonce)) {
            if (run->ran() && (covers || notRun.contains(run->request)))
                add(breach_kind::RanAfterNotRun,
                    request.nonce + ": not_run, but " + run->stage + " ran as " + run->request);
        }
    }

    void checkAtMostOnce(const caller_record &request)
    {
        if (request.repeatable)
            return;
        std::map<std::string, int> counts;
        for (const run_record *run : runsOf(request.nonce)) {
            if (run->ran() && mustRunOnce(request, run->stage))
                ++counts[run->stage];
        }
        for (const auto &[stage, count] : counts) {
            if (count > 1)
                add(breach_kind::RanTwice,
                    request.nonce + ": " + stage + " ran " + std::to_string(count) + " times");
        }
    }

    static bool mustRunOnce(const caller_record &request, const std::string &stage)
    {
        const auto &once = request.onceStages;
        return once.empty() || std::find(once.begin(), once.end(), stage) != once.end();
    }

    // The last stage's result was there in good time, and still the request has no answer.
    void checkResultLost(const caller_record &request)
    {
        const bool without =
            request.end == caller_end::Failed || request.end == caller_end::Expired;
        if (!without || request.expectedStages.empty() || request.request.empty())
            return;
        const steady_time inTime = request.begun + request.deadline - m_bounds.resultMargin;
        for (const run_record *run : runsOf(request.nonce)) {
            if (run->request == request.request && run->stage == request.expectedStages.back()
                && run->end == run_end::Answered && run->ended && *run->ended <= inTime)
                add(breach_kind::Lost,
                    request.nonce + ": the result of " + run->stage
                        + " was answered in time and is lost");
        }
    }

    // A data centre's nodes have to know from the time that the platform says it, or that the
    // server first refused one of them.
    void checkLeaving()
    {
        for (const server_leaving &leaving : m_evidence.leaving) {
            std::map<std::string, steady_time> noticed; // by data centre
            for (const run_record &run : m_evidence.runs) {
                if (run.server != leaving.server || run.arrived < leaving.at
                    || run.arrived >= leaving.until)
                    continue;
                const steady_time first = leaving.listedAt.value_or(run.arrived);
                const auto entry = noticed.try_emplace(dataCenterOf(run), first).first;
                checkNewWork(run, entry->second);
            }
        }
    }

    void checkNewWork(const run_record &run, steady_time noticed)
    {
        if (run.arrived - noticed <= m_bounds.leavingNotice || isFromDisturbedVm(run, noticed))
            return;
        add(breach_kind::NewWork,
            run.server + " got " + run.request + " "
                + std::to_string(toMicros(run.arrived) - toMicros(noticed))
                + " us after it was known to leave");
    }

    [[nodiscard]] std::string dataCenterOf(const run_record &run) const
    {
        for (const auto &[vm, dataCenter] : m_evidence.dataCenters) {
            if (run.request.starts_with(vm + "-"))
                return dataCenter;
        }
        return {};
    }

    [[nodiscard]] bool isFromDisturbedVm(const run_record &run, steady_time since) const
    {
        const auto one = std::find_if(
            m_evidence.disturbedVms.begin(), m_evidence.disturbedVms.end(),
            [&run](const auto &entry) { return run.request.starts_with(entry.first + "-"); });
        return one != m_evidence.disturbedVms.end()
            && isDisturbed(m_evidence.disturbedVms, one->first, since, run.arrived);
    }

    void checkVersionsOfNodes()
    {
        std::map<std::pair<std::string, std::string>, std::uint64_t> highest;
        for (const version_sample &sample : sortedSamples()) {
            std::uint64_t &seen = highest[{sample.vm, sample.incarnation}];
            if (sample.version < seen)
                add(breach_kind::WentBack,
                    sample.vm + " went back from version " + std::to_string(seen) + " to "
                        + std::to_string(sample.version));
            seen = std::max(seen, sample.version);
        }
    }

    [[nodiscard]] std::vector<version_sample> sortedSamples() const
    {
        std::vector<version_sample> samples = m_evidence.versions;
        std::stable_sort(
            samples.begin(), samples.end(),
            [](const version_sample &a, const version_sample &b) { return a.at < b.at; });
        return samples;
    }

    // Replaced nodes included: a node that says it is ready serves nothing older than what others
    // had in force.
    void checkVersionSpread()
    {
        for (const version_sample &sample : m_evidence.versions) {
            const steady_time since = sample.at - m_bounds.configurationSpread;
            if (!sample.ready || isDisturbed(m_evidence.isolatedVms, sample.vm, since, sample.at))
                continue;
            const std::uint64_t due = versionDue(since);
            if (sample.version < due)
                add(breach_kind::FellBehind,
                    sample.vm + " serves version " + std::to_string(sample.version) + " while "
                        + std::to_string(due) + " was in force");
        }
    }

    [[nodiscard]] std::uint64_t versionDue(steady_time at) const
    {
        std::uint64_t due = 0;
        for (const version_sample &sample : m_evidence.versions) {
            if (sample.at <= at)
                due = std::max(due, sample.version);
        }
        for (const version_published &one : m_evidence.published) {
            if (one.at <= at)
                due = std::max(due, one.version);
        }
        return due;
    }

    const run_evidence &m_evidence;
    const proof_bounds &m_bounds;
    std::map<std::string, run_list> m_runs; // by nonce
    std::vector<proof_breach> m_breaches;
};

} // namespace

proof_point pointOf(breach_kind kind)
{
    switch (kind) {
    case breach_kind::Lost:
    case breach_kind::Doubled:
    case breach_kind::Misdelivered:
        return proof_point::ResultsBound;
    case breach_kind::Incomplete:
        return proof_point::WholeAnswers;
    case breach_kind::RanAfterNotRun:
        return proof_point::NotRunTrue;
    case breach_kind::RanTwice:
        return proof_point::AtMostOnce;
    case breach_kind::NewWork:
        return proof_point::LeavingServers;
    case breach_kind::CutOff:
        return proof_point::PlannedStops;
    case breach_kind::WentBack:
    case breach_kind::FellBehind:
        break;
    }
    return proof_point::ConfigurationForward;
}

std::vector<proof_breach> checkHistories(const run_evidence &evidence, const proof_bounds &bounds)
{
    return checker(evidence, bounds).check();
}

} // namespace orchidlead::standins
