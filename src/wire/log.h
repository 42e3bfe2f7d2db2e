#pragma once

#include "core/requests/engine_types.h"
#include "wire/log_line.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstdint>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>

namespace orchidlead::wire {

/// What happens to a node, beside the decisions about requests.
enum class node_event {
    Starting,
    Ready,
    NotReady,
    ConfigurationInForce,
    ConfigurationRefused,
    ConfigurationReport, ///< stale, conflicting or failing sources
    VmListChanged,
    MemberChanged,
    ReaderChanged, ///< began or ended to watch the platform for its data centre
    PauseNoticed,
    ServiceFailed, ///< a call to the platform
    PeerFailed,
    Stopping,
    Stopped,
};

/// How the log is written.
struct log_options
{
    vm_id vm; ///< named on each line
    log_format format = log_format::KeyValue;
    log_level level = log_level::Info; ///< lines below aren't written
    std::uint32_t queue = 10'000; ///< lines that wait to be written; beyond, they are dropped
};

/// Writes one line for each decision and event, without blocking: lines go through a bounded queue
/// to a thread that writes them. Where the queue is full, lines are dropped and counted.
///
/// There may be one at a time in a process.
class log
{
public:
    /// `out` must live longer; it is written to by another thread.
    log(log_options options, std::ostream &out, const clock_source &clock);
    /// Writes what is queued.
    ~log();
    log(const log &) = delete;
    log &operator=(const log &) = delete;

    void write(const log_decision &decision);
    void write(log_level level, node_event event, std::string_view detail);
    void write(log_level level, log_line line);

    /// Whether lines of that level are written: others needn't be made.
    [[nodiscard]] bool writes(log_level level) const { return level >= m_options.level; }

    /// Starts a line of another kind, for `write`.
    [[nodiscard]] log_line line(log_level level, std::string_view event) const;

    /// Waits until what is queued is written; for the end of a process and for tests.
    void flush();

    /// Lines dropped because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    class sink;

    log_options m_options;
    const clock_source &m_clock;
    std::unique_ptr<sink> m_sink;
};

} // namespace orchidlead::wire

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::wire::node_event>{
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::Starting,
                                                        "starting"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::Ready,
                                                        "ready"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::NotReady,
                                                        "not_ready"},
    orchidlead::enum_name<orchidlead::wire::node_event>{
        orchidlead::wire::node_event::ConfigurationInForce, "configuration_in_force"},
    orchidlead::enum_name<orchidlead::wire::node_event>{
        orchidlead::wire::node_event::ConfigurationRefused, "configuration_refused"},
    orchidlead::enum_name<orchidlead::wire::node_event>{
        orchidlead::wire::node_event::ConfigurationReport, "configuration_report"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::VmListChanged,
                                                        "vm_list_changed"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::MemberChanged,
                                                        "member_changed"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::ReaderChanged,
                                                        "reader_changed"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::PauseNoticed,
                                                        "pause_noticed"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::ServiceFailed,
                                                        "service_failed"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::PeerFailed,
                                                        "peer_failed"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::Stopping,
                                                        "stopping"},
    orchidlead::enum_name<orchidlead::wire::node_event>{orchidlead::wire::node_event::Stopped,
                                                        "stopped"},
};
