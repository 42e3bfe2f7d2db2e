#include "standins/history_checker.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::standins;
using namespace std::chrono_literals;

namespace {

const steady_time Start{1h};

caller_send sendTo(const std::string &entry, net::call_end end, const std::string &outcome)
{
    caller_send send;
    send.entry = entry;
    send.sent = Start;
    send.ended = Start + 100ms;
    send.end = end;
    send.outcome = outcome;
    send.request = outcome.empty() ? "" : "vm-1-1-1";
    return send;
}

caller_record signUp()
{
    caller_record record;
    record.nonce = "aa";
    record.repeatable = false;
    record.identity = request_identity::Key;
    record.deadline = 1s;
    record.begun = Start;
    record.ended = Start + 100ms;
    record.end = caller_end::Answered;
    record.request = "vm-1-1-1";
    record.expectedStages = {"records", "charge"};
    record.onceStages = {"charge"};
    record.sends = {sendTo("127.0.0.1:1", net::call_end::Complete, "answered")};
    return record;
}

run_record runOf(const std::string &stage)
{
    run_record run;
    run.server = stage + "-1";
    run.request = "vm-1-1-1";
    run.stage = stage;
    run.nonce = "aa";
    run.arrived = Start + 10ms;
    run.started = Start + 10ms;
    run.ended = Start + 20ms;
    run.end = run_end::Answered;
    return run;
}

run_evidence soundEvidence()
{
    run_evidence evidence;
    evidence.requests = {signUp()};
    evidence.runs = {runOf("records"), runOf("charge")};
    return evidence;
}

version_sample sampleOf(const std::string &vm, std::uint64_t version, milliseconds at)
{
    return {vm, "1", version, true, Start + at};
}

std::vector<breach_kind> breachesOf(const run_evidence &evidence)
{
    std::vector<breach_kind> kinds;
    for (const proof_breach &breach : checkHistories(evidence)) {
        UNSCOPED_INFO(breach.what);
        kinds.push_back(breach.kind);
    }
    return kinds;
}

using kinds = std::vector<breach_kind>;

} // namespace

TEST_CASE("a sound history has no breach")
{
    run_evidence evidence = soundEvidence();
    // A repeatable stage may run again, work that never began doesn't count, and a connection that
    // was refused costs nothing.
    evidence.runs.push_back(runOf("records"));
    evidence.runs.push_back(runOf("charge"));
    evidence.runs.back().started.reset();
    evidence.runs.back().end = run_end::Refused;
    evidence.requests[0].sends.push_back(sendTo("127.0.0.1:2", net::call_end::NotSent, ""));
    CHECK(breachesOf(evidence).empty());
}

TEST_CASE("a charge that ran twice is caught, also under another request's number")
{
    run_evidence evidence = soundEvidence();
    evidence.runs.push_back(runOf("charge"));
    evidence.runs.back().request = "vm-2-1-1";
    evidence.runs.back().end = run_end::Cancelled;
    CHECK(breachesOf(evidence) == kinds{breach_kind::RanTwice});
}

TEST_CASE("an answer that bears another's mark, or misses a stage, is caught")
{
    run_evidence foreign = soundEvidence();
    foreign.requests[0].faults = {answer_fault::Foreign};
    CHECK(breachesOf(foreign) == kinds{breach_kind::Misdelivered});
    run_evidence incomplete = soundEvidence();
    incomplete.requests[0].faults = {answer_fault::Incomplete};
    CHECK(breachesOf(incomplete) == kinds{breach_kind::Incomplete});
    run_evidence invented = soundEvidence();
    invented.runs.pop_back();
    CHECK(breachesOf(invented) == kinds{breach_kind::Incomplete});
}

TEST_CASE("a run after not_run is caught, whichever resend of the key said it")
{
    run_evidence evidence = soundEvidence();
    evidence.requests[0].end = caller_end::NotRun;
    evidence.requests[0].sends = {sendTo("127.0.0.1:1", net::call_end::Broken, ""),
                                  sendTo("127.0.0.1:2", net::call_end::Complete, "not_run")};
    evidence.disturbedEntries["127.0.0.1:1"] = {{Start, Start + 1s}};
    CHECK(breachesOf(evidence) == kinds{breach_kind::RanAfterNotRun, breach_kind::RanAfterNotRun});
}

TEST_CASE("without a key, not_run speaks for the send that it answers alone")
{
    run_evidence evidence = soundEvidence();
    caller_record &request = evidence.requests[0];
    request.identity = request_identity::None;
    request.repeatable = true;
    request.end = caller_end::NotRun;
    request.sends = {sendTo("127.0.0.1:1", net::call_end::Broken, ""),
                     sendTo("127.0.0.1:2", net::call_end::Complete, "not_run")};
    request.sends[1].request = "vm-2-1-9";
    evidence.disturbedEntries["127.0.0.1:1"] = {{Start, Start + 1s}};
    CHECK(breachesOf(evidence).empty());
    request.sends[1].request = "vm-1-1-1";
    CHECK(breachesOf(evidence).size() == 2);
}

TEST_CASE("silence of an entry VM that nothing was done to is a lost result")
{
    run_evidence evidence = soundEvidence();
    evidence.requests[0].sends.push_back(sendTo("127.0.0.1:2", net::call_end::TimedOut, ""));
    CHECK(breachesOf(evidence) == kinds{breach_kind::Lost});
    evidence.disturbedEntries["127.0.0.1:2"] = {{Start + 50ms, Start + 60ms}};
    CHECK(breachesOf(evidence).empty());
}

TEST_CASE("a result that came in time for a request without an answer is lost")
{
    run_evidence evidence = soundEvidence();
    evidence.requests[0].end = caller_end::Expired;
    CHECK(breachesOf(evidence) == kinds{breach_kind::Lost});
    evidence.runs[1].ended = Start + 900ms;
    CHECK(breachesOf(evidence).empty());
}

TEST_CASE("a request that a planned stop cut off is caught")
{
    run_evidence evidence = soundEvidence();
    evidence.requests[0].sends.push_back(sendTo("127.0.0.1:2", net::call_end::Broken, ""));
    evidence.plannedStops["127.0.0.1:2"] = {{Start, Start + 1s}};
    CHECK(breachesOf(evidence) == kinds{breach_kind::CutOff});
}

TEST_CASE("new work for a leaving server is caught three seconds after the platform said so")
{
    run_evidence evidence = soundEvidence();
    evidence.leaving = {{"charge-1", Start - 10s, steady_time::max(), Start + 10ms - 3s}};
    CHECK(breachesOf(evidence).empty());
    evidence.leaving[0].listedAt = Start + 9ms - 3s;
    evidence.runs[1].end = run_end::Refused;
    evidence.runs[1].started.reset();
    evidence.requests.clear();
    CHECK(breachesOf(evidence) == kinds{breach_kind::NewWork});
    evidence.disturbedVms["vm-1"] = {{Start - 1s, Start}};
    CHECK(breachesOf(evidence).empty());
}

TEST_CASE("new work for a leaving server is caught after its first refusal in a data centre")
{
    run_evidence evidence;
    evidence.leaving = {{"charge-1", Start, steady_time::max(), std::nullopt}};
    evidence.dataCenters = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "south"}};
    const auto arrive = [&evidence](const std::string &vm, milliseconds at) {
        evidence.runs.push_back(runOf("charge"));
        evidence.runs.back().request = vm + "-1-1";
        evidence.runs.back().arrived = Start + at;
    };
    arrive("vm-1", 1s);
    arrive("vm-2", 4s);
    arrive("vm-3", 5s);
    CHECK(breachesOf(evidence).empty());
    arrive("vm-2", 4001ms);
    CHECK(breachesOf(evidence) == kinds{breach_kind::NewWork});
    evidence.leaving[0].until = Start + 4001ms;
    CHECK(breachesOf(evidence).empty());
}

TEST_CASE("a node whose configuration goes back, or stays behind the others, is caught")
{
    run_evidence evidence;
    evidence.versions = {sampleOf("vm-1", 2, 0ms), sampleOf("vm-1", 1, 10ms)};
    CHECK(breachesOf(evidence) == kinds{breach_kind::WentBack});
    evidence.versions = {sampleOf("vm-1", 2, 0ms), sampleOf("vm-2", 1, 4s)};
    CHECK(breachesOf(evidence) == kinds{breach_kind::FellBehind});
    evidence.versions = {sampleOf("vm-1", 2, 0ms), sampleOf("vm-2", 1, 3999ms)};
    CHECK(breachesOf(evidence).empty());
    evidence.versions = {sampleOf("vm-1", 1, 5s)};
    evidence.published = {{2, Start + 1s}};
    CHECK(breachesOf(evidence) == kinds{breach_kind::FellBehind});
    evidence.disturbedVms["vm-1"] = {{Start + 4s, Start + 6s}};
    CHECK(breachesOf(evidence) == kinds{breach_kind::FellBehind});
    evidence.isolatedVms["vm-1"] = {{Start + 4s, Start + 6s}};
    CHECK(breachesOf(evidence).empty());
}
