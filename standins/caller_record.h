#pragma once

#include "net/http_client.h"
#include "standins/workload.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <json/json.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::standins {

/// What a caller knows of its request in the end.
enum class caller_end {
    Answered,
    NotRun,
    Failed,
    Unknown,
    Expired,
    Lost, ///< no outcome was ever heard
};

/// What is wrong with an answer.
enum class answer_fault {
    Foreign, ///< it bears another request's mark
    Incomplete, ///< a stage's mark is missing
    Malformed, ///< it isn't what docs/API.md says
    Changed, ///< it differs from an earlier answer to the same request
};

/// One time that a request was sent to an entry VM.
struct caller_send
{
    std::string entry; ///< ip:port
    steady_time sent;
    steady_time ended;
    net::call_end end = net::call_end::NotSent;
    int status = 0;
    bool hurried = false; ///< the caller gave this send up early, and sent again
    std::string request; ///< the system's name for it, where it answered
    std::string outcome; ///< as answered
};

/// What one stage did for a request, as the answer says.
struct caller_stage
{
    std::string stage;
    std::string server;
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
    std::int64_t queuedMs = 0;
    std::int64_t elapsedMs = 0;
    std::int64_t busyMs = 0;
    std::uint64_t tokens = 0;
};

/// One request, as its caller saw it. Times as in `run_record`.
struct caller_record
{
    std::string nonce;
    std::string workClass;
    std::string customer;
    std::string pipeline;
    bool repeatable = true;
    request_identity identity = request_identity::None;
    std::string identityText; ///< the ticket or key
    std::vector<std::string> expectedStages; ///< names and models, the last one's last
    std::vector<std::string> onceStages; ///< that run at most once; empty: all, unless repeatable
    milliseconds deadline{0};
    steady_time begun;
    steady_time ended;
    std::vector<caller_send> sends;
    caller_end end = caller_end::Lost;
    std::string reason;
    std::string detail;
    std::string request;
    std::vector<caller_stage> stages;
    std::vector<answer_fault> faults;

    /// Tells whether the whole answer was there within the deadline.
    [[nodiscard]] bool attained() const
    {
        return end == caller_end::Answered && faults.empty() && ended - begun <= deadline;
    }
};

[[nodiscard]] Json::Value toJson(const caller_record &record);

} // namespace orchidlead::standins

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::caller_end>{
    orchidlead::enum_name<orchidlead::standins::caller_end>{
        orchidlead::standins::caller_end::Answered, "answered"},
    orchidlead::enum_name<orchidlead::standins::caller_end>{
        orchidlead::standins::caller_end::NotRun, "not_run"},
    orchidlead::enum_name<orchidlead::standins::caller_end>{
        orchidlead::standins::caller_end::Failed, "failed"},
    orchidlead::enum_name<orchidlead::standins::caller_end>{
        orchidlead::standins::caller_end::Unknown, "unknown"},
    orchidlead::enum_name<orchidlead::standins::caller_end>{
        orchidlead::standins::caller_end::Expired, "expired"},
    orchidlead::enum_name<orchidlead::standins::caller_end>{orchidlead::standins::caller_end::Lost,
                                                            "lost"},
};

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::answer_fault>{
    orchidlead::enum_name<orchidlead::standins::answer_fault>{
        orchidlead::standins::answer_fault::Foreign, "foreign"},
    orchidlead::enum_name<orchidlead::standins::answer_fault>{
        orchidlead::standins::answer_fault::Incomplete, "incomplete"},
    orchidlead::enum_name<orchidlead::standins::answer_fault>{
        orchidlead::standins::answer_fault::Malformed, "malformed"},
    orchidlead::enum_name<orchidlead::standins::answer_fault>{
        orchidlead::standins::answer_fault::Changed, "changed"},
};
