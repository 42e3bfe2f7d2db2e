#include "bench/node_parts.h"

#include "bench/allocation_counter.h"
#include "core/configuration/published_configuration.h"
#include "core/once/at_most_once.h"
#include "core/requests/call_records.h"
#include "core/requests/default_engine_policies.h"
#include "core/servers/service_pool.h"

#include <orchidlead/clock.h>
#include <orchidlead/random_source.h>
#include <orchidlead/ticket_ledger.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace orchidlead::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t HeaderBytes = 28; ///< IP and UDP
constexpr std::size_t Templates = 17;
constexpr std::size_t Runners = 600;
constexpr std::size_t DataCenters = 7;

std::string numbered(const std::string &name, std::size_t number)
{
    return name + '-' + std::to_string(number);
}

std::string writeServices()
{
    std::string text = "services:\n";
    for (const char *kind : {"encoder", "retriever", "reranker", "engine"}) {
        const std::string name = kind;
        const bool engine = name == "engine";
        text += "  - name: " + name;
        text += "s\n    kind: " + name;
        text += "\n";
        if (engine)
            text += "    models: [small, large]\n";
        text += "    servers:\n";
        for (std::size_t i = 0; i < (engine ? Runners : DataCenters); ++i) {
            const auto port = std::to_string(10000 + i);
            text += "      - {name: " + numbered(name, i) + ", address: '127.0.0.1:" + port
                + "', data_center: " + numbered("dc", i % DataCenters) + "}\n";
        }
    }
    return text;
}

std::string writeTemplate(std::size_t number)
{
    return "  - name: " + numbered("template", number)
        + "\n    parameters:\n"
          "      - {name: deadline, type: duration, default: 2s, min: 100ms, max: 4s}\n"
          "      - {name: model, type: string, required: true, allowed: [small, large]}\n"
          "      - {name: tokens, type: integer, default: 64, min: 1, max: 512}\n"
          "      - {name: urgency, type: priority, default: normal}\n"
          "    deadline: ${deadline}\n"
          "    priority: ${urgency}\n"
          "    stages:\n"
          "      - {name: encode, service: encoders, after: []}\n"
          "      - {name: lookup, service: retrievers, path: /lookup, after: [encode]}\n"
          "      - {name: rank, service: rerankers, after: [lookup]}\n"
          "      - {name: generate, service: engines, after: [rank], model: '${model}',"
          " max_tokens: '${tokens}'}\n";
}

std::string writeCustomers(std::size_t customers, bool shared)
{
    std::string text = "customers:\n";
    const std::size_t entries = shared ? std::min(Templates, customers) : customers;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        text += "  - names: [";
        for (std::size_t i = entry; i < customers; i += entries)
            text += (i == entry ? "" : ", ") + numbered("customer", i);
        text += "]\n    home_data_center: " + numbered("dc", entry % DataCenters)
            + "\n    pipelines:\n      - {name: chat, template: "
            + numbered("template", entry % Templates) + ", parameters: {model: small}}\n";
    }
    return text;
}

std::string writeDocument(std::size_t customers, bool shared)
{
    std::string text = "format: 1\ndata_centers:\n";
    for (std::size_t i = 0; i < DataCenters; ++i)
        text +=
            "  - {name: " + numbered("dc", i) + ", region: " + numbered("region", i / 4) + "}\n";
    text += writeServices() + "templates:\n";
    for (std::size_t i = 0; i < Templates; ++i)
        text += writeTemplate(i);
    return text + writeCustomers(customers, shared) + "...\n";
}

std::vector<backend_server> makeServers(std::size_t count)
{
    std::vector<backend_server> servers;
    for (std::size_t i = 0; i < count; ++i) {
        servers.push_back({backend_server_id{numbered("runner", i)},
                           {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)},
                           data_center_id{numbered("dc", i % DataCenters)}});
    }
    return servers;
}

call_record makeRecord(std::size_t number, steady_time now)
{
    call_record record;
    record.id = "customer-" + std::to_string(number) + "/1764684000000-0123456789abcdef"
        + std::to_string(number);
    record.digest = number;
    record.deadline = now + 4s;
    record.keepUntil = now + 600s;
    return record;
}

/// The gates of one data centre, with messages that arrive at once.
class gate_group
{
public:
    explicit gate_group(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            member one;
            one.vm.vm = vm_id{numbered("vm", i)};
            one.vm.dataCenter = data_center_id{"dc-0"};
            one.incarnation = i + 1;
            one.state = member_state::Alive;
            one.listed = true;
            m_members.push_back(one);
        }
        for (std::size_t i = 0; i < nodes; ++i) {
            at_most_once_settings settings;
            settings.vm = m_members[i].vm.vm;
            settings.incarnation = m_members[i].incarnation;
            settings.dataCenter = m_members[i].vm.dataCenter;
            m_index[settings.vm] = i;
            m_gates.push_back(std::make_unique<at_most_once>(settings, m_clock));
        }
    }

    void run(std::chrono::seconds time)
    {
        constexpr milliseconds Tick{250};
        for (milliseconds passed{0}; passed < time; passed += Tick) {
            m_clock.advance(Tick);
            for (std::size_t i = 0; i < m_gates.size(); ++i) {
                std::vector<peer_message> out;
                m_gates[i]->setMembers(m_members, m_clock.now());
                m_gates[i]->tick(out);
                deliver(m_members[i].vm.vm, out);
            }
        }
    }

    [[nodiscard]] double messages() const { return m_messages; }
    [[nodiscard]] double bytes() const { return m_bytes; }

private:
    void deliver(const vm_id &from, const std::vector<peer_message> &messages)
    {
        for (const auto &message : messages) {
            m_messages += 2; // sent here, received there
            m_bytes += 2.0 * static_cast<double>(message.bytes.size() + HeaderBytes);
            std::vector<peer_message> answers;
            m_gates[m_index.at(message.to)]->onPeerMessage(from, message.bytes, answers);
            deliver(message.to, answers);
        }
    }

    manual_clock m_clock;
    std::vector<member> m_members;
    std::vector<std::unique_ptr<at_most_once>> m_gates;
    std::map<vm_id, std::size_t> m_index;
    double m_messages = 0;
    double m_bytes = 0;
};

} // namespace

configuration_cost measureConfiguration(std::size_t customers, bool shared)
{
    const std::string text = writeDocument(customers, shared);
    configuration_cost cost;
    cost.contentBytes = static_cast<double>(text.size());
    const auto before = liveBytes();
    resetPeak();
    const double begun = processorSeconds();
    const auto parsed = parsePublishedConfiguration(text, "capacity", 1);
    cost.parseSeconds = processorSeconds() - begun;
    if (!parsed) {
        std::fprintf(stderr, "capacity: %s\n", parsed.error().front().message().c_str());
        std::exit(EXIT_FAILURE);
    }
    cost.heldBytes = static_cast<double>(liveBytes() - before);
    cost.peakBytes = static_cast<double>(peakBytes() - before);
    return cost;
}

routing_cost measureRouting(std::size_t servers)
{
    constexpr int Picks = 200000;
    manual_clock clock;
    random_source random(1);
    const auto members = makeServers(servers);
    routing_cost cost;
    const auto before = liveBytes();
    service_pool<default_engine_policies> pool(service_id{"runners"}, data_center_id{"dc-0"}, {},
                                               {});
    pool.setMembers(members, {}, clock.now());
    cost.poolBytes = static_cast<double>(liveBytes() - before);
    const double begun = processorSeconds();
    for (int i = 0; i < Picks; ++i) {
        clock.advance(1ms);
        routing_request request;
        request.prefixHash = random.next();
        request.now = clock.now();
        const auto choice = pool.pick(request, random);
        if (!choice)
            continue;
        pool.onDispatched(choice->slot, clock.now());
        (void)pool.onAnswered(choice->slot, 20ms, 20ms, clock.now());
    }
    cost.pickSeconds = (processorSeconds() - begun) / Picks;
    return cost;
}

record_cost measureRecords(std::size_t records)
{
    constexpr std::size_t AnswerBytes = 200;
    constexpr std::size_t Bound = 200000;
    manual_clock clock;
    record_cost cost;
    const auto empty = liveBytes();
    ticket_ledger ledger(vm_id{"vm-1"}, 1, 600s, Bound, clock);
    const double begun = processorSeconds();
    for (std::size_t i = 0; i < records; ++i)
        (void)ledger.mint();
    const auto withTickets = liveBytes();
    call_records kept(Bound, AnswerBytes * Bound);
    for (std::size_t i = 0; i < records; ++i) {
        auto *record = kept.add(makeRecord(i, clock.now()));
        final_answer answer;
        answer.outcome = outcome::Answered;
        answer.output = std::make_shared<const std::string>(AnswerBytes, 'x');
        kept.finish(*record, answer);
    }
    cost.addSeconds = processorSeconds() - begun;
    cost.ticketBytes = static_cast<double>(withTickets - empty);
    cost.recordBytes = static_cast<double>(liveBytes() - withTickets);
    return cost;
}

lease_cost measureLeases(std::size_t nodesInDataCenter)
{
    constexpr std::chrono::seconds Settle{300};
    constexpr std::chrono::seconds Time{60};
    gate_group group(nodesInDataCenter);
    group.run(Settle);
    const double messages = group.messages();
    const double bytes = group.bytes();
    const double begun = processorSeconds();
    group.run(Time);
    const double nodes = static_cast<double>(nodesInDataCenter);
    const double seconds = static_cast<double>(Time.count());
    lease_cost cost;
    cost.processorShare = (processorSeconds() - begun) / seconds / nodes;
    cost.messagesPerSecond = (group.messages() - messages) / seconds / nodes;
    cost.bytesPerSecond = (group.bytes() - bytes) / seconds / nodes;
    return cost;
}

} // namespace orchidlead::bench
