#pragma once

#include "net/http_client.h"
#include "standins/fleet.h"
#include "standins/history_checker.h"

#include <orchidlead/clock.h>

#include <set>
#include <string>
#include <vector>

namespace orchidlead::standins {

/// Asks nodes again and again which configuration they have in force.
class version_sampler
{
public:
    version_sampler(net::event_loop &loop, net::http_client &client, const clock_source &clock)
        : m_loop(loop)
        , m_client(client)
        , m_clock(clock)
    { }
    ~version_sampler();
    version_sampler(const version_sampler &) = delete;
    version_sampler &operator=(const version_sampler &) = delete;

    void start(const std::vector<fleet_vm> &vms);

    [[nodiscard]] const std::vector<version_sample> &samples() const { return m_samples; }

private:
    void askAll();
    void ask(const fleet_vm &vm);
    void take(const std::string &vm, const std::string &body);

    net::event_loop &m_loop;
    net::http_client &m_client;
    const clock_source &m_clock;
    std::vector<fleet_vm> m_vms;
    std::set<std::string> m_asked; // VMs whose answer is awaited
    std::vector<net::call_id> m_calls;
    std::vector<version_sample> m_samples;
    net::timer_id m_timer = 0;
};

} // namespace orchidlead::standins
