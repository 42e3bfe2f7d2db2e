#pragma once

#include "core/requests/engine_types.h"

#include <orchidlead/clock.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace orchidlead {

/// Identifies a call record. Valid until the record is dropped, and never reused.
struct record_handle
{
    std::uint64_t value = 0;

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const record_handle &, const record_handle &) = default;
};

/// State of a call that must not be repeated.
enum class call_state {
    Accepted, ///< this node will run the call and has sent nothing yet
    Dispatched, ///< a byte may have been sent
    Finished,
    HandedOver, ///< in flight at the previous home; its outcome is unknown here
};

template <>
inline constexpr std::array enumNames<call_state>{
    enum_name<call_state>{call_state::Accepted, "accepted"},
    enum_name<call_state>{call_state::Dispatched, "dispatched"},
    enum_name<call_state>{call_state::Finished, "finished"},
    enum_name<call_state>{call_state::HandedOver, "handed_over"},
};

/// Record of one call.
struct call_record
{
    record_handle handle;
    std::string id; ///< empty if no later request can refer to the call
    std::uint64_t digest = 0;
    call_state state = call_state::Accepted;
    steady_time deadline;
    steady_time keepUntil;
    final_answer answer; ///< if finished; its output may have been evicted

    /// Whether the whole answer is available, including its output.
    [[nodiscard]] bool answerable() const
    {
        return answer.outcome != outcome::Answered || answer.output != nullptr;
    }
};

/// The calls that a node accepted and their answers, bounded in number, bytes and age.
///
/// Outputs are evicted, oldest first, when they exceed the limit of bytes. The outcome of a call is
/// kept as long as its id may be used.
class call_records
{
public:
    call_records(std::size_t maxRecords, std::size_t maxAnswerBytes);

    /// Adds a record. Returns null if the maximum number of records is reached.
    call_record *add(call_record record);

    [[nodiscard]] call_record *find(std::string_view id);
    [[nodiscard]] call_record *find(record_handle handle);
    [[nodiscard]] const call_record *find(record_handle handle) const;

    /// Records the answer of a call. Later answers to the same call are ignored.
    void finish(call_record &record, const final_answer &answer);

    void drop(record_handle handle);

    /// Drops expired records, except those of calls in flight.
    void expire(steady_time now);

    void forEach(const std::function<void(const call_record &)> &visit) const;

    [[nodiscard]] std::size_t size() const { return m_records.size(); }
    [[nodiscard]] std::size_t answerBytes() const { return m_answerBytes; }

private:
    void evictOutputs();
    void releaseOutput(call_record &record);

    std::size_t m_maxRecords;
    std::size_t m_maxAnswerBytes;
    std::uint64_t m_nextHandle = 1;
    std::size_t m_answerBytes = 0;
    std::unordered_map<std::uint64_t, call_record> m_records;
    std::unordered_map<std::string, std::uint64_t> m_byId;
    std::multimap<steady_time, std::uint64_t> m_byExpiry;
    std::deque<std::uint64_t> m_finished; ///< oldest first
};

} // namespace orchidlead
