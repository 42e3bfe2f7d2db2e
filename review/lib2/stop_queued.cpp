// Case: SIGTERM comes while requests wait in the queues of model runners. The gateway has read the
// requests and passed them on; 7.5 s after the SIGTERM it ends, and closes their connections
// without an answer.
//
// Two gateways, 2 model runners that run 4 requests at once and queue the others, 38 clients. A run
// takes 2.5 s, and a request waits about 9 s for its turn; deadline and timeout are 20 s. One
// gateway gets SIGTERM. The balancer asks each gateway once a second whether it is ready, and gives
// it new connections until it has missed twice.
#include "lab.h"

#include <deque>

using namespace lab;

namespace {

constexpr int Runners = 2;
constexpr std::size_t Slots = 4;
constexpr std::size_t Queue = 268;
constexpr int Events = 10;
constexpr ms EventTime{250};
constexpr int Clients = 38;
constexpr int Deadline = 20000;
constexpr ms StopAfter{25000};
constexpr ms Grace{8000};
constexpr ms LastSixth{6667};
constexpr ms ExcusedUntil{3000}; // sent no later than this after the SIGTERM

struct request_state
{
    int gateway = 0;
    clock::time_point sentAt{};
    bool reachedRunner = false;
    bool begun = false;
    clock::time_point begunAt{};
    clock::time_point runEndedAt = clock::time_point::max();
    bool ended = false;
    bool whole = false;
    int status = 0;
    clock::time_point endedAt{};
};

struct runner
{
    runner(world &w, int number, std::map<std::string, request_state> &requests)
        : id("i-runner-" + std::to_string(number))
        , m_world(w)
        , m_requests(requests)
        , server(w.l, "127.0.0.1",
                 [this](const message &request, const conn_ptr &to) { onRequest(request, to); })
    { }

    std::string id;

private:
    struct waiting
    {
        std::string attempt;
        conn_ptr to;
    };

    void onRequest(const message &request, const conn_ptr &to)
    {
        if (request.target() == "/report") {
            to->write(answerText(
                200, {{"Content-Type", "application/json"}},
                R"({"stage":"mixed","models":[],"busy":false,"sequence":1,"queued":)"
                    + std::to_string(m_queue.size()) + R"(,"active":)" + std::to_string(m_running)
                    + R"(,"kv_used":0,"kv_total":286093,"handles":0,"runs":[]})"));
            return;
        }
        if (request.target() == "/healthz") {
            to->write(answerText(200, {{"X-Instance-Id", id}}, ""));
            return;
        }
        const auto attempt = request.field("X-Attempt-Id");
        if (request.field("X-Expected-Instance") != id) {
            to->write(answerText(421, {{"X-Instance-Id", id}}, ""));
            return;
        }
        if (m_queue.size() >= Queue) {
            to->write(answerText(503, {{"X-Not-Executed", "1"}, {"X-Attempt-Id", attempt}}, ""));
            return;
        }
        m_requests[attempt].reachedRunner = true;
        record("%s queues %s behind %zu", id.c_str(), attempt.c_str(), m_queue.size());
        m_queue.push_back({attempt, to});
        next();
    }
    void next()
    {
        while (m_running < Slots && !m_queue.empty()) {
            const auto first = m_queue.front();
            m_queue.pop_front();
            if (!first.to->open()) {
                record("%s drops %s, whose connection has closed", id.c_str(),
                       first.attempt.c_str());
                continue;
            }
            ++m_running;
            auto &state = m_requests[first.attempt];
            state.begun = true;
            state.begunAt = clock::now();
            record("%s begins to run %s", id.c_str(), first.attempt.c_str());
            first.to->write(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + first.attempt
                + "\r\nX-Instance-Signature: " + id + "." + first.attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            event(first, 1);
        }
    }
    void event(const waiting &one, int number)
    {
        m_world.l.after(EventTime, [this, one, number] {
            const auto text = "id: " + std::to_string(number) + "\ndata: " + one.attempt + "\n\n";
            char head[16];
            std::snprintf(head, sizeof head, "%zx\r\n", text.size());
            const bool last = number == Events || !one.to->open();
            if (one.to->open())
                one.to->write(head + text + "\r\n" + (number == Events ? "0\r\n\r\n" : ""));
            if (!last) {
                event(one, number + 1);
                return;
            }
            m_requests[one.attempt].runEndedAt = clock::now();
            --m_running;
            next();
        });
    }

    world &m_world;
    std::map<std::string, request_state> &m_requests;
    std::deque<waiting> m_queue;
    std::size_t m_running = 0;

public:
    http_server server;
};

} // namespace

int main()
{
    world w;
    std::map<std::string, request_state> requests;
    std::vector<std::unique_ptr<runner>> runners;
    for (int i = 0; i < Runners; ++i)
        runners.push_back(std::make_unique<runner>(w, i, requests));
    w.publish(
        R"({"version":7,"routes":[{"name":"r","hostname":"pule25.example","path_prefix":"/puxa400/","type":"streaming",)"
        R"("timeout_ms":20000,"target_latency_ms":3600,"priority":2,"service":"pool","max_attempts":1,"stages":[],)"
        R"("anonymous":false,"session_affinity":true,"resumable":false,"itl_target_ms":500}],"services":[{"name":"pool",)"
        R"("health_path":"/healthz","max_connections":610,"protocol":"h1","tls":false,"engine":{"slots":4,)"
        R"("kv_capacity":286093,"kv_token_bytes":131072,"link_mbps":130000.0,"moves":true,"backups":true,"stride":3,)"
        R"("most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]})");
    const char *zones[] = {"ulemiste-a", "ulemiste-b"};
    for (int i = 0; i < Runners; ++i)
        w.announce(runners[i]->id, "pool", runners[i]->server.at(), zones[i],
                   static_cast<int>(Slots));
    std::vector<gateway *> gateways{&w.add("edge-ulemiste-a-1", "ulemiste-a"),
                                    &w.add("edge-ulemiste-b-1", "ulemiste-b")};
    for (auto *each : gateways)
        w.start(*each);
    for (auto *each : gateways)
        w.awaitReady(*each);
    w.l.runFor(ms{1500});

    // The balancer.
    std::vector<int> misses(gateways.size(), 0);
    std::function<void()> probe = [&] {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            const auto asked = std::make_shared<client>(w.l, gateways[i]->readiness);
            const auto answer = asked->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            w.l.after(ms{500}, [&, i, asked, answer] {
                misses[i] = answer->status == 200 ? 0 : misses[i] + 1;
            });
        }
        w.l.after(ms{1000}, probe);
    };
    probe();

    bool over = false;
    clock::time_point stopAt = clock::time_point::max();
    std::vector<std::unique_ptr<client>> clients(Clients);
    std::function<void(int, int)> next = [&](int who, int number) {
        if (over)
            return;
        // A new connection for each request, to a gateway in rotation.
        int chosen = (who + number) % 2;
        if (misses[chosen] >= 2)
            chosen = 1 - chosen;
        const auto attempt = "a" + std::to_string(who) + "r" + std::to_string(1000 + number);
        auto &state = requests[attempt];
        state.gateway = chosen;
        state.sentAt = clock::now();
        record("client sends %s to %s", attempt.c_str(), gateways[chosen]->name.c_str());
        clients[who] = std::make_unique<client>(w.l, gateways[chosen]->clients);
        const auto sent = clients[who]->send(
            requestText(
                "POST", "/puxa400/2f", "pule25.example", attempt, Deadline,
                {{"X-Model", "m"},
                 {"X-Token-Count", "500,30"},
                 {"X-Prefix-Hash", "5c1e:172,ab" + std::to_string(1000 * who + number) + ":328"},
                 {"Api-Key", "k1"}},
                "question of " + attempt),
            [&, who, number, attempt](const answer_ptr &answer) {
                auto &known = requests[attempt];
                known.ended = true;
                known.whole = answer->whole;
                known.status = answer->status;
                known.endedAt = clock::now();
                record("client gets %d for %s, %s", answer->status, attempt.c_str(),
                       answer->whole ? "complete" : "connection closed");
                w.l.after(ms{answer->status == 200 ? 20 : 400},
                          [&, who, number] { next(who, number + 1); });
            });
        if (sent->ended)
            w.l.after(ms{400}, [&, who, number] { next(who, number + 1); });
    };
    for (int i = 0; i < Clients; ++i)
        w.l.after(ms{300 * i}, [&, i] { next(i, 0); });
    w.l.runFor(StopAfter);
    stopAt = clock::now();
    if (w.hasTrouble) {
        record("SIGTERM to %s", gateways[0]->name.c_str());
        ::kill(gateways[0]->pid, SIGTERM);
    }
    w.l.runFor(Grace + ms{1000});
    over = true;
    w.l.runFor(ms{14000});

    int served = 0;
    int lost = 0;
    int excused = 0;
    for (const auto &[attempt, each] : requests) {
        served += each.whole && each.status == 200 ? 1 : 0;
        const bool concerned = each.gateway == 0 && each.ended && !each.whole
            && each.endedAt >= stopAt && each.endedAt <= stopAt + Grace + ms{1000}
            && each.reachedRunner;
        if (!concerned)
            continue;
        const bool atWork =
            each.begun && each.begunAt <= stopAt + Grace && each.runEndedAt >= stopAt + LastSixth;
        const bool isExcused = (atWork && each.sentAt <= stopAt + ExcusedUntil)
            || each.endedAt - each.sentAt >= ms{Deadline};
        (isExcused ? excused : lost) += 1;
        record(
            "%s was sent %lld ms after the SIGTERM and cut at %lld ms, %s%s", attempt.c_str(),
            static_cast<long long>(std::chrono::duration_cast<ms>(each.sentAt - stopAt).count()),
            static_cast<long long>(std::chrono::duration_cast<ms>(each.endedAt - stopAt).count()),
            each.begun ? "while it ran" : "while it waited in the queue of its runner",
            isExcused ? ": not counted" : "");
    }
    record("%d requests served, %d cut around the stop, %d more not counted", served, lost,
           excused);
    if (served < 40)
        cannotRun("too few requests were served");
    return verdict(
        lost > 0,
        "LOST, " + std::to_string(lost)
            + " requests that waited at a runner ended without an answer around a SIGTERM ("
            + std::to_string(excused) + " more not counted)");
}
