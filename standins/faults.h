#pragma once

#include <orchidlead/enum_names.h>
#include <orchidlead/result.h>

#include <json/json.h>

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace orchidlead::standins {

/// What can be made to go wrong at a stand-in while it runs.
enum class fault_kind {
    Slow, ///< work takes `factor` times as long
    Stall, ///< half of the answer is sent, then nothing
    Close, ///< half of the answer is sent, then the connection is closed
    Refuse, ///< 503 without running
    Late, ///< the work is done, the answer is sent `delay` later
    ForeignRequest, ///< the answer names another request
    Duplicate, ///< the answer holds the same answer twice
    WrongLength, ///< the answer is shorter than its content-length
    LostReports, ///< load and cache reports are refused
    LaggingReports, ///< load and cache reports are `delay` old
    Leaving, ///< 503 `leaving`; running work is finished
    Hang, ///< accepts connections and requests, and never answers
    Down, ///< the listening socket is closed
    Stale, ///< platform only: serves the version before the newest
};

enum class fault_error { UnknownFault, Malformed };

/// One fault that is switched on.
struct fault
{
    fault_kind kind = fault_kind::Slow;
    double probability = 1.0; ///< of hitting one request
    double factor = 10.0;
    std::chrono::milliseconds delay{1000};
};

/// The faults that are switched on at one server.
class fault_set
{
public:
    void set(const fault &fault) { m_faults[fault.kind] = fault; }
    void clear() { m_faults.clear(); }

    [[nodiscard]] bool has(fault_kind kind) const { return m_faults.contains(kind); }
    [[nodiscard]] std::optional<fault> find(fault_kind kind) const;
    /// Finds the fault, and draws whether it hits this request.
    [[nodiscard]] std::optional<fault> draw(fault_kind kind, std::mt19937_64 &random) const;

    [[nodiscard]] Json::Value toJson() const;

private:
    std::map<fault_kind, fault> m_faults;
};

/// Reads `{"faults": [{"fault": "slow", "factor": 10, "probability": 0.5, "delay_ms": 200}]}`.
[[nodiscard]] result<fault_set, fault_error> parseFaults(const Json::Value &json);

} // namespace orchidlead::standins

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::fault_kind>{
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Slow,
                                                            "slow"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Stall,
                                                            "stall"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Close,
                                                            "close"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::Refuse, "refuse"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Late,
                                                            "late"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::ForeignRequest, "foreign_request"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::Duplicate, "duplicate"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::WrongLength, "wrong_length"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::LostReports, "lost_reports"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::LaggingReports, "lagging_reports"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{
        orchidlead::standins::fault_kind::Leaving, "leaving"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Hang,
                                                            "hang"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Down,
                                                            "down"},
    orchidlead::enum_name<orchidlead::standins::fault_kind>{orchidlead::standins::fault_kind::Stale,
                                                            "stale"},
};
