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

/// Names a record of the gate; valid until the record is dropped, and never reused.
struct record_handle
{
    std::uint64_t value = 0;

    // clang-tidy 14 takes the comparison with 0 that the compiler writes for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const record_handle &, const record_handle &) = default;
};

/// Where a call that may not be repeated stands.
enum class call_state {
    Accepted, ///< this node will run it, and nothing has left yet
    Dispatched, ///< something may have left
    Finished,
    HandedOver, ///< the previous home had it in flight; its fate isn't known here
};

template <>
inline constexpr std::array enumNames<call_state>{
    enum_name<call_state>{call_state::Accepted, "accepted"},
    enum_name<call_state>{call_state::Dispatched, "dispatched"},
    enum_name<call_state>{call_state::Finished, "finished"},
    enum_name<call_state>{call_state::HandedOver, "handed_over"},
};

/// What a node remembers of one call.
struct call_record
{
    record_handle handle;
    std::string id; ///< empty: nobody can ask for it again
    std::uint64_t digest = 0;
    call_state state = call_state::Accepted;
    steady_time deadline;
    steady_time keepUntil;
    final_answer answer; ///< where finished; the output may have been evicted

    /// Tells whether the caller can be given all of the answer.
    [[nodiscard]] bool answerable() const
    {
        return answer.outcome != outcome::Answered || answer.output != nullptr;
    }
};

/// The calls that a node accepted, with their answers, bounded in count, bytes and age.
///
/// Outputs are evicted when there are too many bytes, oldest first; that a call has ended, and
/// how, is kept for as long as its name may be used.
class call_records
{
public:
    call_records(std::size_t maxRecords, std::size_t maxAnswerBytes);

    /// Adds a record in state `Accepted`; nothing where all places are taken.
    call_record *add(call_record record);

    [[nodiscard]] call_record *find(std::string_view id);
    [[nodiscard]] call_record *find(record_handle handle);
    [[nodiscard]] const call_record *find(record_handle handle) const;

    /// Ends a call; only the first end counts.
    void finish(call_record &record, const final_answer &answer);

    void drop(record_handle handle);

    /// Drops what isn't in flight and has been kept long enough.
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
    std::multimap<steady_time, std::uint64_t> m_byAge; // keepUntil
    std::deque<std::uint64_t> m_finished; // oldest first
};

} // namespace orchidlead
