#pragma once

#include "standins/caller_record.h"
#include "standins/run_history.h"

#include <orchidlead/enum_names.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Checks the histories of callers and of backend servers' stand-ins against each other.
namespace orchidlead::standins {

/// What the users ask to hold always.
enum class proof_point {
    ResultsBound, ///< no stage result is lost, doubled or handed to another request
    WholeAnswers, ///< a caller gets the whole answer to its own request
    NotRunTrue, ///< "not run" is said only where nothing ran
    AtMostOnce, ///< what may not be repeated runs at most once
    LeavingServers, ///< a leaving backend server gets no new work after a few seconds
    PlannedStops, ///< a planned stop cuts no request off
    ConfigurationForward, ///< configuration is in force within seconds and never goes back
};

/// How a point is breached.
enum class breach_kind {
    Lost, ///< no outcome, or a result that came in time and went nowhere
    Doubled, ///< two different answers to one request
    Misdelivered, ///< an answer made from another request's input
    Incomplete, ///< an answer that isn't whole, or that no backend server gave
    RanAfterNotRun,
    RanTwice,
    NewWork, ///< for a backend server that is leaving
    CutOff, ///< by a planned stop
    WentBack, ///< a node's configuration
    FellBehind, ///< a node's configuration
};

/// Tells which point a breach is of.
[[nodiscard]] proof_point pointOf(breach_kind kind);

/// One breach that a history shows.
struct proof_breach
{
    breach_kind kind = breach_kind::Lost;
    std::string what; ///< for people, with the request concerned
};

/// A time in which something was wrong with a VM, on purpose.
struct disturbance
{
    steady_time from;
    steady_time to;

    [[nodiscard]] bool touches(steady_time start, steady_time end) const
    {
        return from <= end && start <= to;
    }
};

/// A backend server that was leaving for a time.
struct server_leaving
{
    std::string server;
    steady_time at; ///< since when the server refuses
    steady_time until = steady_time::max(); ///< when it came back
    std::optional<steady_time> listedAt; ///< since when what the platform publishes says so
};

/// The configuration version of a node at a time.
struct version_sample
{
    std::string vm;
    std::string incarnation;
    std::uint64_t version = 0;
    bool ready = false;
    steady_time at;
};

/// A configuration version that the platform accepted.
struct version_published
{
    std::uint64_t version = 0;
    steady_time at;
};

/// Everything that is known of one run.
struct run_evidence
{
    std::vector<caller_record> requests;
    std::vector<run_record> runs;
    std::map<std::string, std::vector<disturbance>> disturbedEntries; ///< by `ip:port`
    std::map<std::string, std::vector<disturbance>> plannedStops; ///< by `ip:port`
    std::map<std::string, std::vector<disturbance>> disturbedVms; ///< by name: replaced or isolated
    std::map<std::string, std::vector<disturbance>> isolatedVms; ///< by name: cut off or frozen
    std::map<std::string, std::string> dataCenters; ///< of VMs, by name
    std::vector<server_leaving> leaving;
    std::vector<version_sample> versions;
    std::vector<version_published> published;
};

/// Bounds that the checks allow for.
struct proof_bounds
{
    milliseconds leavingNotice{3000};
    milliseconds configurationSpread{4000};
    milliseconds resultMargin{500}; ///< a result that came this long before the deadline counts
};

[[nodiscard]] std::vector<proof_breach> checkHistories(const run_evidence &evidence,
                                                       const proof_bounds &bounds = {});

} // namespace orchidlead::standins

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::proof_point>{
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::ResultsBound, "results bound to their requests"},
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::WholeAnswers, "whole answers"},
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::NotRunTrue, "not_run is true"},
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::AtMostOnce, "at most once"},
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::LeavingServers, "leaving backend servers"},
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::PlannedStops, "planned stops"},
    orchidlead::enum_name<orchidlead::standins::proof_point>{
        orchidlead::standins::proof_point::ConfigurationForward, "configuration goes forward"},
};

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::breach_kind>{
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::Lost, "lost"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::Doubled, "doubled"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::Misdelivered, "misdelivered"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::Incomplete, "incomplete"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::RanAfterNotRun, "ran_after_not_run"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::RanTwice, "ran_twice"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::NewWork, "new_work"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::CutOff, "cut_off"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::WentBack, "went_back"},
    orchidlead::enum_name<orchidlead::standins::breach_kind>{
        orchidlead::standins::breach_kind::FellBehind, "fell_behind"},
};
