// Case: a stage server sends one answer a second time, late, where the answer to its next call is
// due. The gateway takes the copy for the answer to that call, and a request is generated from the
// stage result of another request.
//
// Servers: 4 stage servers, 2 model runners. Every request has one piece. Two of the stage servers
// send each 40th of their answers a second time, in spans of 5 s with 5 s between them.
#include "lab.h"

using namespace lab;

namespace {

constexpr int StageServers = 4;
constexpr ms CallTime{200};
constexpr int Clients = 8;
constexpr ms TrafficTime{85000};
// Servers that send answers twice, one in how many of their answers, and when.
constexpr int CopyingServers = 2;
constexpr int AnswersPerCopy = 40;
constexpr ms CopyTime{5000};
constexpr ms CopyPeriod{10000};

struct piece
{
    std::string request;
    std::string key;
};

std::string member(const std::string &json, const std::string &name)
{
    const auto mark = "\"" + name + "\":\"";
    const auto at = json.find(mark);
    if (at == std::string::npos)
        return {};
    const auto begin = at + mark.size();
    return json.substr(begin, json.find('"', begin) - begin);
}

struct stage_server
{
    stage_server(world &w, int number, std::map<std::string, piece> &made)
        : id("i-stage-" + std::to_string(number))
        , m_world(w)
        , m_made(made)
        , m_copies(number < CopyingServers && w.hasTrouble)
        , server(w.l, "127.0.0.1", [this](const message &request, const conn_ptr &to) { onRequest(request, to); })
    { }

    std::string id;
    int answers = 0;
    int copies = 0;

private:
    void onRequest(const message &request, const conn_ptr &to)
    {
        if (const auto late = m_late.extract(to.get()); !late.empty()) {
            record("%s sends its last answer on this connection again: %s", id.c_str(),
                   late.mapped().substr(late.mapped().find("\r\n\r\n") + 4).c_str());
            to->write(late.mapped());
            ++copies;
        }
        if (request.field("X-Expected-Instance") != id) {
            to->write(answerText(421, {{"X-Instance-Id", id}}, ""));
            return;
        }
        if (request.target() == "/stage-free") {
            to->write(answerText(200, {}, ""));
            return;
        }
        if (request.target() != "/stage-run") {
            to->write(answerText(200, {{"X-Instance-Id", id}}, ""));
            return;
        }
        // The items of the call, in order.
        std::string items;
        for (auto at = request.body.find("{\"id\""); at != std::string::npos;
             at = request.body.find("{\"id\"", at + 1)) {
            const auto item = request.body.substr(at, request.body.find('}', at) - at);
            const auto handle = server.at().text() + "/" + std::to_string(++m_results) + "f";
            m_made[handle] = {member(item, "id"), member(item, "key")};
            items += (items.empty() ? "" : ",") + (R"({"handle":")" + handle + R"("})");
            record("%s makes %s for request %s, key %s", id.c_str(), handle.c_str(), member(item, "id").c_str(),
                   member(item, "key").c_str());
        }
        const auto text = answerText(200, {{"Content-Type", "application/json"}, {"X-Instance-Load", "1,0,1"}},
                                     R"({"items":[)" + items + "]}");
        // One call at a time.
        m_freeAt = std::max(m_freeAt, clock::now()) + CallTime;
        m_world.l.after(std::chrono::duration_cast<ms>(m_freeAt - clock::now()), [this, to, text] {
            if (!to->open())
                return;
            ++answers;
            const bool due = (clock::now() - startTime()) % CopyPeriod < CopyTime;
            if (m_copies && due && answers >= m_nextCopy) {
                m_nextCopy = answers + AnswersPerCopy;
                m_late[to.get()] = text;
            }
            to->write(text);
        });
    }

    world &m_world;
    std::map<std::string, piece> &m_made;
    bool m_copies;
    int m_results = 0;
    int m_nextCopy = AnswersPerCopy / 2;
    clock::time_point m_freeAt{};
    std::map<conn *, std::string> m_late;

public:
    http_server server;
};

} // namespace

int main()
{
    world w;
    std::map<std::string, piece> made; // by handle
    int wrong = 0;
    int served = 0;
    int runs = 0;

    std::vector<std::unique_ptr<stage_server>> stages;
    for (int i = 0; i < StageServers; ++i)
        stages.push_back(std::make_unique<stage_server>(w, i, made));

    std::vector<std::unique_ptr<http_server>> runners;
    for (int i = 0; i < 2; ++i) {
        const auto id = "i-runner-" + std::to_string(i);
        runners.push_back(std::make_unique<http_server>(
            w.l, "127.0.0.1", [&, id](const message &request, const conn_ptr &to) {
                if (request.target() == "/report") {
                    to->write(answerText(200, {{"Content-Type", "application/json"}},
                                         R"({"stage":"mixed","models":[],"busy":false,"sequence":1,"queued":0,)"
                                         R"("active":0,"kv_used":0,"kv_total":286093,"handles":0,"runs":[]})"));
                    return;
                }
                const auto attempt = request.field("X-Attempt-Id");
                const auto key = request.field("X-Chunk-Key");
                const auto handle = request.field("X-Input-Count");
                ++runs;
                const auto found = made.find(handle);
                const bool own = found != made.end() && found->second.request == attempt
                    && found->second.key == key;
                record("%s runs request %s, key %s, with the result %s%s", id.c_str(), attempt.c_str(),
                       key.c_str(), handle.c_str(),
                       own ? "" : (" of request " + (found == made.end() ? std::string("?") : found->second.request)).c_str());
                wrong += own ? 0 : 1;
                std::string events;
                for (int n = 1; n <= 3; ++n)
                    events += "id: " + std::to_string(n) + "\ndata: " + attempt + "\n\n";
                to->write(answerText(200,
                                     {{"X-Attempt-Id", attempt},
                                      {"X-Instance-Signature", "s." + attempt},
                                      {"Content-Type", "text/event-stream"}},
                                     events));
            }));
    }

    w.publish(
        R"({"version":7,"routes":[{"name":"r","hostname":"pule25.example","path_prefix":"/puxa400/","type":"streaming",)"
        R"("timeout_ms":8000,"target_latency_ms":3600,"priority":1,"service":"pool","max_attempts":2,"stages":)"
        R"([{"service":"member-registry","after":[],"length":1500000}],"anonymous":false,"session_affinity":true,)"
        R"("resumable":true,"itl_target_ms":500}],"services":[{"name":"pool","health_path":"/healthz",)"
        R"("max_connections":610,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":286093,)"
        R"("kv_token_bytes":131072,"link_mbps":130000.0,"moves":true,"backups":true,"stride":3,"most":12,)"
        R"("pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},{"name":"member-registry",)"
        R"("health_path":"/healthz","max_connections":610,"protocol":"h1","tls":false,"segments":{"slots":1,"queue":2,)"
        R"("batch":8,"call_ms":200.0,"item_ms":21.0,"headroom_mb":18.0,"handle_s":4.0,"link_mbps":10000}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]})");
    const char *zones[] = {"ulemiste-a", "ulemiste-b", "lasnamae", "mustamae"};
    for (int i = 0; i < StageServers; ++i)
        w.announce(stages[i]->id, "member-registry", stages[i]->server.at(), zones[i], 1);
    for (int i = 0; i < 2; ++i)
        w.announce("i-runner-" + std::to_string(i), "pool", runners[i]->at(), zones[i], 128);

    auto &node = w.add("edge-ulemiste-a-1", "ulemiste-a");
    w.start(node);
    w.awaitReady(node);
    w.l.runFor(ms{1500});

    std::vector<std::unique_ptr<client>> clients;
    int open = 0;
    std::function<void(int, int)> next = [&](int who, int number) {
        if (clock::now() - startTime() > TrafficTime) {
            --open;
            return;
        }
        const auto attempt = "a" + std::to_string(who) + "r" + std::to_string(1000 + number);
        const auto key = "key-" + attempt;
        record("client sends request %s, key %s", attempt.c_str(), key.c_str());
        clients[who]->send(requestText("POST", "/puxa400/2f", "pule25.example", attempt, 8000,
                                       {{"X-Model", "m"},
                                        {"X-Token-Count", "800,20"},
                                        {"X-Prefix-Hash", "5c" + std::to_string(who) + ":500,ab"
                                             + std::to_string(1000 * who + number) + ":300"},
                                        {"X-Chunk-Count", "1"},
                                        {"X-Chunk-Key", key},
                                        {"Api-Key", "k1"}},
                                       "prompt of " + attempt),
                           [&, who, number, attempt](const answer_ptr &answer) {
                               record("client gets %d for %s", answer->status, attempt.c_str());
                               served += answer->status == 200 ? 1 : 0;
                               w.l.after(ms{5 + 3 * who}, [&, who, number] { next(who, number + 1); });
                           });
    };
    for (int i = 0; i < Clients; ++i) {
        clients.push_back(std::make_unique<client>(w.l, node.clients));
        ++open;
        w.l.after(ms{30 * i}, [&, i] { next(i, 0); });
    }
    w.l.runUntil(ms{100000}, [&] { return open == 0; });

    int copies = 0;
    int answers = 0;
    for (const auto &each : stages) {
        copies += each->copies;
        answers += each->answers;
    }
    record("%d answers of stage servers, %d of them also sent again; %d runs, %d with inputs of another request; "
           "%d requests served", answers, copies, runs, wrong, served);
    if (served < 300)
        cannotRun("too few requests were served");
    if (w.hasTrouble && copies == 0)
        cannotRun("no answer was sent again");
    return verdict(wrong > 0, "MIXED, " + std::to_string(wrong) + " of " + std::to_string(runs)
                                  + " runs were given the stage result of another request");
}
