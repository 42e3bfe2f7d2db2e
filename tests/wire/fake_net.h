#pragma once

#include "net/http_client.h"
#include "net/http_server.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Stands in for src/net where a test wants to order the events itself.
namespace orchidlead::wire {

/// Runs posted tasks when told to; timers are kept, not run.
class fake_loop final : public net::event_loop
{
public:
    void run() override
    {
        while (!m_tasks.empty()) {
            const auto task = std::move(m_tasks.front());
            m_tasks.pop_front();
            task();
        }
    }
    void stop() override { }
    void post(std::function<void()> task) override { m_tasks.push_back(std::move(task)); }
    net::timer_id callAfter(std::chrono::microseconds delay, std::function<void()> task) override
    {
        timers.emplace(++m_lastTimer, std::pair{delay, std::move(task)});
        return m_lastTimer;
    }
    void cancelTimer(net::timer_id timer) override { timers.erase(timer); }
    [[nodiscard]] lws_context *context() override { return nullptr; }

    /// Runs the oldest timer and returns its delay.
    std::chrono::microseconds fireTimer()
    {
        const auto first = timers.begin();
        const auto [delay, task] = std::move(first->second);
        timers.erase(first);
        task();
        return delay;
    }

    std::map<net::timer_id, std::pair<std::chrono::microseconds, std::function<void()>>> timers;

private:
    std::deque<std::function<void()>> m_tasks;
    net::timer_id m_lastTimer = 0;
};

/// Keeps the calls; the test plays the server.
class fake_http_client final : public net::http_client
{
public:
    struct started_call
    {
        net::http_call call;
        net::call_events events;
        bool cancelled = false;
        bool reading = true;

        /// Sends a whole answer, if the call may still be sent.
        void answer(int status, const std::string &body, net::header_list headers = {})
        {
            if (!call.mayStillSend || call.mayStillSend()) {
                events.onHead(status, headers);
                events.onBody(body);
                events.onEnd(net::call_end::Complete);
            } else {
                events.onEnd(net::call_end::NotSent);
            }
        }
    };

    net::call_id start(net::http_call call, net::call_events events) override
    {
        calls.push_back({std::move(call), std::move(events)});
        if (failAtOnce)
            calls.back().events.onEnd(net::call_end::NotSent);
        return calls.size();
    }
    void cancel(net::call_id call) override
    {
        if (call != 0)
            calls.at(call - 1).cancelled = true;
    }
    void setReading(net::call_id call, bool reading) override
    {
        calls.at(call - 1).reading = reading;
    }

    std::deque<started_call> calls;
    bool failAtOnce = false; ///< ends each call from within `start`
};

/// Keeps what a handler answers.
class fake_response final : public net::response_writer
{
public:
    void respond(int answered, const net::header_list &answerHeaders, std::string answer) override
    {
        status = answered;
        headers = answerHeaders;
        body = std::move(answer);
    }
    void begin(int answered, const net::header_list &) override { status = answered; }
    void write(std::string chunk) override { body += chunk; }
    void finish() override { }
    [[nodiscard]] bool open() const override { return !status; }
    [[nodiscard]] std::size_t queuedBytes() const override { return 0; }
    void onDrained(std::function<void()>) override { }
    void onClosed(std::function<void()> handler) override { closed = std::move(handler); }

    std::optional<int> status;
    net::header_list headers;
    std::string body;
    std::function<void()> closed;
};

} // namespace orchidlead::wire
