#pragma once

#include "core/requests/default_engine_policies.h"
#include "core/requests/request_engine_impl.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

/// An engine under the control of a test, which sees all actions and acts as the backend servers.
namespace orchidlead::tests {

inline service makeService(const std::string &id, int servers, const std::string &dataCenter = "a")
{
    service made;
    made.id = service_id{id};
    for (int number = 1; number <= servers; ++number) {
        backend_server server;
        server.id = backend_server_id{id + "-" + std::to_string(number)};
        server.address = {"127.0.0.1", static_cast<std::uint16_t>(number)};
        server.dataCenter = data_center_id{dataCenter};
        made.servers.push_back(server);
    }
    return made;
}

/// Adds a stage whose input is the stage before it.
inline stage_plan &addStage(pipeline_plan &plan, const std::string &service)
{
    stage_plan stage;
    stage.id = stage_id{service};
    stage.service = service_id{service};
    if (!plan.stages.empty())
        stage.inputs = {static_cast<std::uint32_t>(plan.stages.size() - 1)};
    plan.stages.push_back(stage);
    return plan.stages.back();
}

inline pipeline_plan makePlan(const std::vector<std::string> &services,
                              const std::string &customer = "tartu")
{
    pipeline_plan plan;
    plan.id = pipeline_id{"draft"};
    plan.customer = customer_id{customer};
    plan.deadline = milliseconds{4'000};
    for (const std::string &service : services)
        addStage(plan, service);
    return plan;
}

template <class Policies = default_engine_policies>
struct engine_harness
{
    manual_clock clock;
    basic_request_engine<Policies> engine;
    engine_actions actions; ///< not taken or cleared yet
    int requests = 0;

    explicit engine_harness(engine_settings settings = {})
        : engine(withDataCenter(settings), clock, 1)
    { }

    static engine_settings withDataCenter(engine_settings settings)
    {
        settings.dataCenter = data_center_id{"a"};
        return settings;
    }

    void services(const std::vector<service> &list) { engine.setServices(1, list, actions); }

    request_id submit(const pipeline_plan &plan, milliseconds deadline = milliseconds{4'000})
    {
        pipeline_request request;
        request.id = request_id{"r" + std::to_string(++requests)};
        request.plan = std::make_shared<pipeline_plan>(plan);
        request.input = std::make_shared<std::string>("\"text\"");
        request.deadline = clock.now() + deadline;
        const request_id id = request.id;
        engine.submit(std::move(request), actions);
        return id;
    }

    /// Removes and returns the actions of one type, in order.
    template <class Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        engine_actions rest;
        for (engine_action &action : actions) {
            if (auto *wanted = std::get_if<Action>(&action))
                taken.push_back(std::move(*wanted));
            else
                rest.push_back(std::move(action));
        }
        actions = std::move(rest);
        return taken;
    }

    void answer(const send_attempt &sent, const std::string &output = "\"done\"")
    {
        engine.onSent(sent.key);
        engine.onAnswer({sent.key, sent.key, std::make_shared<std::string>(output), 0, {}},
                        actions);
    }

    void failAttempt(const send_attempt &sent, attempt_failure failure)
    {
        if (failure != attempt_failure::NotSent)
            engine.onSent(sent.key);
        engine.onFailure(sent.key, failure, std::nullopt, actions);
    }

    void advance(milliseconds by)
    {
        clock.advance(by);
        engine.tick(actions);
    }

    /// Completes `count` one-stage requests that take `each`, so that the stage has estimates.
    void warmUp(const pipeline_plan &plan, int count, milliseconds each)
    {
        for (int round = 0; round < count; ++round) {
            submit(plan);
            clock.advance(each);
            for (auto sends = take<send_attempt>(); !sends.empty(); sends = take<send_attempt>()) {
                for (const auto &sent : sends)
                    answer(sent);
            }
        }
        actions.clear();
    }
};

} // namespace orchidlead::tests
