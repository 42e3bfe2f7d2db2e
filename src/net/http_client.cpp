#include "net/http_client.h"

#include "net/client_call.h"

#include <unordered_map>
#include <utility>

namespace orchidlead::net {

namespace {

class http_client_impl final : public http_client
{
public:
    explicit http_client_impl(lws_event_loop &loop)
        : m_loop(loop)
    { }
    ~http_client_impl() override
    {
        const auto calls = std::exchange(m_calls, {});
        for (const auto &[id, call] : calls)
            call->cancel();
    }
    http_client_impl(const http_client_impl &) = delete;
    http_client_impl &operator=(const http_client_impl &) = delete;

    call_id start(http_call call, call_events events) override
    {
        const call_id id = ++m_lastId;
        const auto started = std::make_shared<client_call>(
            m_loop, std::move(call), std::move(events), [this, id] { m_calls.erase(id); });
        m_calls.emplace(id, started);
        started->start();
        return id;
    }

    void cancel(call_id call) override
    {
        if (const auto found = find(call))
            found->cancel();
    }

    void setReading(call_id call, bool reading) override
    {
        if (const auto found = find(call))
            found->setReading(reading);
    }

private:
    [[nodiscard]] std::shared_ptr<client_call> find(call_id call) const
    {
        const auto found = m_calls.find(call);
        return found == m_calls.end() ? nullptr : found->second;
    }

    lws_event_loop &m_loop;
    std::unordered_map<call_id, std::shared_ptr<client_call>> m_calls;
    call_id m_lastId = 0;
};

} // namespace

std::unique_ptr<http_client> http_client::create(event_loop &loop)
{
    return std::make_unique<http_client_impl>(implementationOf(loop));
}

} // namespace orchidlead::net
