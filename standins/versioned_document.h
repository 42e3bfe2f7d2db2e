#pragma once

#include "net/event_loop.h"
#include "net/http_server.h"
#include "standins/faults.h"

#include <orchidlead/clock.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace orchidlead::standins {

/// Counts reads by second.
class read_counter
{
public:
    void count(steady_time now);
    [[nodiscard]] std::uint64_t total() const { return m_total; }
    /// Most reads in one second of the clock.
    [[nodiscard]] std::uint64_t peak() const { return m_peak; }

private:
    std::int64_t m_second = 0;
    std::uint64_t m_inSecond = 0;
    std::uint64_t m_peak = 0;
    std::uint64_t m_total = 0;
};

/// Serves one document of the platform with a version that can be watched by long poll.
class versioned_document
{
public:
    [[nodiscard]] static result<std::unique_ptr<versioned_document>, net::net_error>
    create(net::event_loop &loop, const clock_source &clock, const socket_address &listen,
           std::string path);

    [[nodiscard]] const socket_address &address() const { return m_address; }

    /// Publishes a body under a version of the publisher's choice, which may be wrong.
    void publish(std::uint64_t version, Json::Value body);
    /// The newest version's number; 0: none.
    [[nodiscard]] std::uint64_t newestVersion() const;

    [[nodiscard]] result<void, net::net_error> setFaults(fault_set faults);

    /// `{"published": [{"version", "at_us"}], "reads": {"total", "peak_per_second"}, …}`
    [[nodiscard]] Json::Value historyJson() const;

private:
    struct published
    {
        std::uint64_t version = 0;
        Json::Value body;
        steady_time at;
    };

    struct watcher
    {
        net::response_ptr response;
        std::uint64_t after = 0;
        net::timer_id timer = 0;
    };

    versioned_document(net::event_loop &loop, const clock_source &clock, socket_address listen,
                       std::string path);

    result<void, net::net_error> listen();
    void handle(const net::http_request &request, const net::response_ptr &response);
    void serve(const net::http_request &request, const net::response_ptr &response);
    void watch(std::uint64_t after, milliseconds wait, const net::response_ptr &response);
    void endWatch(std::uint64_t id);
    void wakeWatchers();
    /// The version that readers are shown now; none where nothing was published.
    [[nodiscard]] const published *visible() const;
    [[nodiscard]] bool isNews(std::uint64_t shown, std::uint64_t after) const;

    net::event_loop &m_loop;
    const clock_source &m_clock;
    socket_address m_address;
    std::string m_path;
    std::vector<published> m_published;
    std::unordered_map<std::uint64_t, watcher> m_watchers;
    std::uint64_t m_lastWatcher = 0;
    std::mt19937_64 m_random{1};
    fault_set m_faults;
    read_counter m_reads;
    std::vector<net::response_ptr> m_stuck;
    std::unique_ptr<net::http_server> m_server;
};

} // namespace orchidlead::standins
