#include "standins/demo_fleet.h"

#include "standins/fleet_runner.h"

namespace orchidlead::standins {

namespace {

constexpr const char *Templates = R"(templates:
  - name: summary
    parameters:
      - {name: deadline, type: duration, default: 4s, min: 500ms, max: 30s}
      - {name: urgency, type: priority, default: normal}
      - {name: model, type: string, default: large, allowed: [small, large]}
      - {name: length, type: integer, default: 48, min: 8, max: 1024}
    deadline: ${deadline}
    priority: ${urgency}
    stages:
      - {name: encode, service: encoders, path: /encode, after: []}
      - {name: retrieve, service: retrievers, path: /retrieve, after: [encode]}
      - {name: rerank, service: rerankers, path: /rerank, after: [retrieve]}
      - {name: generate, service: runners, after: [rerank], model: '${model}', max_tokens: '${length}'}
  - name: question
    parameters:
      - {name: urgency, type: priority, default: low}
    deadline: 10s
    priority: ${urgency}
    stages:
      - {name: encode, service: encoders, path: /encode, after: []}
      - {name: retrieve, service: retrievers, path: /retrieve, after: [encode]}
      - {name: generate, service: runners, after: [retrieve], model: small, max_tokens: 32}
  - name: page
    deadline: 2s
    priority: high
    stages:
      - {name: records, service: records, path: /read, after: []}
  - name: confirm
    deadline: 4s
    priority: high
    stages:
      - {name: records, service: records, path: /read, after: []}
      - {name: charge, service: ledger, path: /charge, after: [records]}
)";

constexpr const char *Pipelines = R"(    pipelines:
      - {name: summary, template: summary}
      - {name: urgent-summary, template: summary, parameters: {urgency: high, length: 32}}
      - {name: question, template: question}
      - {name: page, template: page}
      - {name: confirm, template: confirm}
)";

struct customer_row
{
    const char *name;
    int weight;
};

constexpr customer_row Customers[] = {
    {"tartu-alumni", 4}, {"narva-alumni", 1}, {"collectors", 4}, {"tank-clerks", 2}};

fleet_service makeService(const demo_size &size, const std::string &name, const std::string &server,
                          service_kind kind)
{
    fleet_service service;
    service.name = name;
    service.kind = kind;
    std::uint32_t number = 0;
    for (const fleet_data_center &one : size.dataCenters) {
        for (std::uint32_t i = 0; i < size.serversOfDataCenter; ++i)
            service.servers.push_back({server + "-" + std::to_string(++number), one.name, {}});
    }
    return service;
}

work_class makeClass(const std::string &name, const std::string &customer,
                     const std::string &pipeline, double rate)
{
    work_class kind;
    kind.name = name;
    kind.customer = customer;
    kind.pipeline = pipeline;
    kind.rate = rate;
    kind.stages = {"encode", "retrieve", "rerank"};
    kind.models = {"large"};
    return kind;
}

work_class makeQuestion(const std::string &name, const std::string &customer, double rate)
{
    work_class kind = makeClass(name, customer, "question", rate);
    kind.stages = {"encode", "retrieve"};
    kind.models = {"small"};
    kind.deadline = milliseconds{8000};
    return kind;
}

work_class makePage(const std::string &name, const std::string &customer, double rate)
{
    work_class kind = makeClass(name, customer, "page", rate);
    kind.stages = {"records"};
    kind.models = {};
    kind.deadline = milliseconds{2000};
    return kind;
}

work_class makeConfirmation(const std::string &name, const std::string &customer, double rate,
                            request_identity identity)
{
    work_class kind = makeClass(name, customer, "confirm", rate);
    kind.stages = {"records", "charge"};
    kind.models = {};
    kind.repeatable = false;
    kind.once = {"charge"};
    kind.identity = identity;
    return kind;
}

} // namespace

fleet_layout makeDemoLayout(const demo_size &size)
{
    fleet_layout layout;
    layout.dataCenters = size.dataCenters;
    std::uint32_t number = 0;
    for (const fleet_data_center &one : size.dataCenters) {
        for (std::uint32_t i = 0; i < size.vmsOfDataCenter; ++i)
            layout.vms.push_back(
                {"vm-" + std::to_string(++number), one.name, one.region, {}, {}, {}, {}});
    }
    fleet_service runners = makeService(size, "runners", "runner", service_kind::Engine);
    runners.models = {"small", "large"};
    runners.baseMs = 3.0;
    fleet_service ledger = makeService(size, "ledger", "ledger", service_kind::Plain);
    ledger.repeatable = false;
    ledger.baseMs = 15.0;
    layout.services = {makeService(size, "encoders", "encoder", service_kind::Encoder),
                       makeService(size, "retrievers", "retriever", service_kind::Retriever),
                       makeService(size, "rerankers", "reranker", service_kind::Reranker),
                       runners,
                       makeService(size, "records", "records", service_kind::Plain),
                       ledger};
    assignPorts(layout);
    return layout;
}

std::string demoTemplatesAndCustomers(const demo_size &size)
{
    std::string text = std::string(Templates) + "customers:\n";
    std::size_t next = 0;
    for (const customer_row &row : Customers) {
        const std::string &home = size.dataCenters[next++ % size.dataCenters.size()].name;
        text += "  - name: " + std::string(row.name) + "\n    home_data_center: " + home
            + "\n    weight: " + std::to_string(row.weight) + "\n" + Pipelines;
    }
    return text + "...\n";
}

workload makeDemoWorkload(double rate, request_identity signUpIdentity)
{
    workload work;
    work_class minutes = makeClass("minutes", "tartu-alumni", "summary", 0.10);
    minutes.bytes = 4000;
    minutes.prefixes = 4;
    minutes.prefixBytes = 1024;
    work_class routes = makeClass("routes", "collectors", "urgent-summary", 0.20);
    work_class chat = makeQuestion("chat", "narva-alumni", 0.10);
    chat.stream = true;
    work.classes = {minutes,
                    routes,
                    chat,
                    makeQuestion("phone", "tank-clerks", 0.15),
                    makePage("events", "tartu-alumni", 0.20),
                    makeConfirmation("sign-up", "tartu-alumni", 0.10, signUpIdentity),
                    makeConfirmation("pickup", "collectors", 0.15, request_identity::Ticket)};
    for (work_class &kind : work.classes)
        kind.rate *= rate;
    return work;
}

} // namespace orchidlead::standins
