#include "standins/version_sampler.h"

#include "standins/json_http.h"

#include <memory>

namespace orchidlead::standins {

namespace {

constexpr std::chrono::milliseconds Interval{100};
constexpr std::chrono::milliseconds Timeout{1000};

} // namespace

version_sampler::~version_sampler()
{
    m_loop.cancelTimer(m_timer);
    for (const net::call_id call : m_calls)
        m_client.cancel(call);
}

void version_sampler::start(const std::vector<fleet_vm> &vms)
{
    m_vms = vms;
    askAll();
}

void version_sampler::askAll()
{
    for (const fleet_vm &vm : m_vms) {
        if (!m_asked.contains(vm.name))
            ask(vm);
    }
    m_timer = m_loop.callAfter(Interval, [this] { askAll(); });
}

void version_sampler::ask(const fleet_vm &vm)
{
    m_asked.insert(vm.name);
    net::http_call call;
    call.address = vm.operators;
    call.method = "GET";
    call.path = "/v1/status";
    call.timeout = Timeout;
    const auto body = std::make_shared<std::string>();
    const auto id = std::make_shared<net::call_id>(0);
    net::call_events events;
    events.onBody = [body](std::string_view bytes) { *body += bytes; };
    events.onEnd = [this, name = vm.name, body, id](net::call_end end) {
        m_asked.erase(name);
        std::erase(m_calls, *id);
        if (end == net::call_end::Complete)
            take(name, *body);
    };
    *id = m_client.start(std::move(call), std::move(events));
    m_calls.push_back(*id);
}

void version_sampler::take(const std::string &vm, const std::string &body)
{
    const auto json = parseJson(body);
    if (!json || !json->isObject() || !(*json)["configuration_version"].isUInt64())
        return;
    version_sample sample;
    sample.vm = vm;
    sample.incarnation = toCompactJson((*json)["incarnation"]);
    sample.version = (*json)["configuration_version"].asUInt64();
    sample.ready = (*json)["ready"].isBool() && (*json)["ready"].asBool();
    sample.at = m_clock.now();
    m_samples.push_back(std::move(sample));
}

} // namespace orchidlead::standins
