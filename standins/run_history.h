#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>

#include <json/json.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace orchidlead::standins {

/// How one attempt ended at a backend server.
enum class run_end {
    Pending, ///< queued or running
    Answered, ///< ran, and a whole answer was handed to the connection
    Spoiled, ///< ran, and a fault kept the whole answer back
    Cancelled, ///< the caller closed the connection after the work began
    Abandoned, ///< the caller closed the connection before the work began: did not run
    Refused, ///< did not run
};

/// One attempt that reached a backend server. Times are of the machine's monotonic clock, which
/// all processes of one machine share, so that histories of several processes can be compared.
struct run_record
{
    std::uint64_t sequence = 0; ///< from 1, in order of arrival
    std::string server;
    std::string request;
    std::string stage;
    std::uint32_t stageIndex = 0;
    std::uint32_t attempt = 0;
    std::string customer;
    std::string nonce; ///< the caller's mark in the input
    steady_time arrived;
    std::optional<steady_time> started; ///< empty: the work never began
    std::optional<steady_time> ended;
    run_end end = run_end::Pending;
    bool serverLeaving = false; ///< the server was leaving when it arrived

    /// Tells whether any of the work was done.
    [[nodiscard]] bool ran() const { return started.has_value(); }
};

[[nodiscard]] Json::Value toJson(const run_record &record);
/// Reads what `toJson` wrote; nothing where a member is missing or of a wrong type.
[[nodiscard]] std::optional<run_record> parseRunRecord(const Json::Value &json);

/// Microseconds of the monotonic clock, as histories write them.
[[nodiscard]] std::int64_t toMicros(steady_time time);
[[nodiscard]] steady_time fromMicros(std::int64_t micros);

/// Keeps the newest attempts of one process, up to a bound.
class run_history
{
public:
    explicit run_history(std::size_t capacity = DefaultCapacity)
        : m_capacity(capacity)
    { }

    /// Files an attempt and gives the sequence number under which it may be changed.
    std::uint64_t add(run_record record);
    /// Finds an attempt that has not been dropped yet.
    [[nodiscard]] run_record *find(std::uint64_t sequence);

    /// `{"last": N, "dropped": D, "runs": […]}` with at most `limit` runs after `after`.
    [[nodiscard]] Json::Value page(std::uint64_t after, std::size_t limit) const;

private:
    static constexpr std::size_t DefaultCapacity = 400'000;

    std::size_t m_capacity;
    std::uint64_t m_last = 0;
    std::deque<run_record> m_records;
};

} // namespace orchidlead::standins

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::run_end>{
    orchidlead::enum_name<orchidlead::standins::run_end>{orchidlead::standins::run_end::Pending,
                                                         "pending"},
    orchidlead::enum_name<orchidlead::standins::run_end>{orchidlead::standins::run_end::Answered,
                                                         "answered"},
    orchidlead::enum_name<orchidlead::standins::run_end>{orchidlead::standins::run_end::Spoiled,
                                                         "spoiled"},
    orchidlead::enum_name<orchidlead::standins::run_end>{orchidlead::standins::run_end::Cancelled,
                                                         "cancelled"},
    orchidlead::enum_name<orchidlead::standins::run_end>{orchidlead::standins::run_end::Abandoned,
                                                         "abandoned"},
    orchidlead::enum_name<orchidlead::standins::run_end>{orchidlead::standins::run_end::Refused,
                                                         "refused"},
};
