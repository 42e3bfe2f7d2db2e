#pragma once

#include "net/event_loop.h"
#include "net/http_server.h"
#include "standins/engine_work.h"
#include "standins/faults.h"
#include "standins/run_history.h"
#include "standins/run_protocol.h"
#include "standins/stage_work.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::standins {

/// Describes one backend server that a process takes the place of.
struct backend_server_spec
{
    std::string name;
    service_kind kind = service_kind::Plain;
    socket_address listen{"127.0.0.1", 0};
    stage_work_options stage; ///< all kinds but engines
    engine_work_options engine; ///< engines only
    milliseconds reportLag{0}; ///< age of load reports
};

/// Takes the place of one backend server: speaks its protocol, takes as long as its work model
/// says, and does wrong what its faults say.
class backend_server
{
public:
    /// Everything is used until the server's end.
    struct surroundings
    {
        net::event_loop &loop;
        const clock_source &clock;
        run_history &history;
    };

    [[nodiscard]] static result<std::unique_ptr<backend_server>, net::net_error>
    create(const surroundings &around, const backend_server_spec &spec, std::uint64_t seed);

    [[nodiscard]] const std::string &name() const { return m_spec.name; }
    [[nodiscard]] service_kind kind() const { return m_spec.kind; }
    /// The address, with the port that the system picked.
    [[nodiscard]] const socket_address &address() const { return m_spec.listen; }
    [[nodiscard]] const fault_set &faults() const { return m_faults; }

    /// Replaces the faults that are switched on; fails where the port can't be opened again.
    [[nodiscard]] result<void, net::net_error> setFaults(fault_set faults);

private:
    /// One attempt that was taken and has not ended.
    struct taken_call
    {
        run_call call;
        net::response_ptr response;
        std::optional<work_id> work;
        steady_time started;
        milliseconds busy{0}; ///< once the work is done
        std::size_t tokensSent = 0;
        bool foreign = false; ///< its stream answers another request
        bool spoiled = false; ///< a fault has ended the stream early
    };

    struct load_sample
    {
        steady_time at;
        work_load load;
        std::uint64_t cacheEvents = 0; ///< number of the last one
    };

    backend_server(const surroundings &around, const backend_server_spec &spec, std::uint64_t seed);

    result<void, net::net_error> listen();
    void handle(const net::http_request &request, const net::response_ptr &response);
    void handleReport(const net::http_request &request, net::response_writer &response);
    void handleRun(const net::http_request &request, const net::response_ptr &response);
    [[nodiscard]] bool refuse(net::response_writer &response, run_record record);
    void take(run_call call, const net::response_ptr &response);
    [[nodiscard]] run_record recordOf(const run_call &call) const;

    void onStart(std::uint64_t sequence);
    void onToken(std::uint64_t sequence);
    void onEnd(std::uint64_t sequence, work_end end);
    void onClosed(std::uint64_t sequence);
    void answer(std::uint64_t sequence);
    [[nodiscard]] run_end answerWhole(const taken_call &ended);
    [[nodiscard]] run_end answerStream(const taken_call &ended);
    void endRun(std::uint64_t sequence, run_end end);

    [[nodiscard]] std::string wholeBody(const taken_call &ended, bool foreign);
    [[nodiscard]] run_call answeredCall(const taken_call &ended, bool foreign);
    [[nodiscard]] Json::Value loadJson() const;
    [[nodiscard]] Json::Value cacheEventsJson(std::uint64_t after) const;
    /// What reports may know now.
    [[nodiscard]] load_sample reported() const;
    [[nodiscard]] load_sample sample() const;
    void sampleLoad();

    surroundings m_around;
    backend_server_spec m_spec;
    std::mt19937_64 m_random;
    fault_set m_faults;
    std::unique_ptr<work_model> m_work;
    const prefix_cache *m_cache = nullptr; ///< engines only
    std::unordered_map<std::uint64_t, taken_call> m_calls; ///< by sequence in the history
    std::deque<load_sample> m_samples;
    std::optional<run_call> m_earlier; ///< of another request, for answers that are foreign
    std::vector<net::response_ptr> m_stuck; ///< answers that a fault holds open
    std::unique_ptr<net::http_server> m_server;
};

} // namespace orchidlead::standins
