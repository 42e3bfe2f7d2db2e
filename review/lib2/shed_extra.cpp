// Case: a full server rejects a request (503, X-Not-Executed) and sends that answer a second time,
// late, where the answer to the next request of the connection is due. The next request, which may
// run once at most, runs there; the gateway takes the copy for its answer and sends it to another
// server, where it runs again.
//
// Servers: 4 of a plain service with 6 places. Each of them is full with the work of other nodes
// for 60 ms of each second and rejects then, as the example "a server sheds" of the platform's
// messages shows it. Two of them send at most one in 40 of their answers a second time, in spans of
// 5 s with 5 s between them.
#include "lab.h"

#include <random>

using namespace lab;

namespace {

constexpr int Servers = 4;
constexpr int Clients = 4;
constexpr ms TrafficTime{40000};
constexpr int CopyingServers = 2;
constexpr int AnswersPerCopy = 40;
constexpr ms CopyTime{5000};
constexpr ms CopyPeriod{10000};
constexpr std::size_t Places = 6;
// When a server is full with the work of other nodes.
constexpr ms FullPeriod{1000};
constexpr ms FullTime{60};

struct plain_server
{
    plain_server(world &w, int number, std::map<std::string, std::vector<std::string>> &runs)
        : id("i-portal-" + std::to_string(number))
        , m_world(w)
        , m_runs(runs)
        , m_number(number)
        , m_copies(number < CopyingServers && w.hasTrouble)
        , m_random(static_cast<unsigned>(number + 1))
        , server(w.l, "127.0.0.1",
                 [this](const message &request, const conn_ptr &to) { onRequest(request, to); })
    { }

    std::string id;
    int answers = 0;
    int rejections = 0;
    int copies = 0;

private:
    void onRequest(const message &request, const conn_ptr &to)
    {
        if (const auto late = m_late.extract(to.get()); !late.empty()) {
            record("%s sends its last answer on this connection again (503)", id.c_str());
            to->write(late.mapped());
            ++copies;
        }
        if (request.field("X-Expected-Instance") != id) {
            to->write(answerText(421, {{"X-Instance-Id", id}}, ""));
            return;
        }
        ++answers;
        const auto inPeriod =
            (clock::now() - startTime() + FullPeriod - ms{250} * m_number) % FullPeriod;
        if (m_places >= Places || inPeriod < FullTime) {
            ++rejections;
            record("%s rejects %s", id.c_str(), request.field("X-Attempt-Id").c_str());
            const auto text = answerText(503, {{"X-Not-Executed", "1"}}, "");
            const bool due = (clock::now() - startTime()) % CopyPeriod < CopyTime;
            if (m_copies && due && answers >= m_nextCopy) {
                m_nextCopy = answers + AnswersPerCopy;
                m_late[to.get()] = text;
            }
            to->write(text);
            return;
        }
        ++m_places;
        m_world.l.after(
            ms{std::uniform_int_distribution<int>(8, 25)(m_random)}, [this, request, to] {
                --m_places;
                const auto attempt = request.field("X-Attempt-Id");
                m_runs[attempt].push_back(id);
                record("%s has run %s", id.c_str(), attempt.c_str());
                to->write(answerText(200,
                                     {{"X-Attempt-Id", attempt},
                                      {"X-Instance-Signature", id + "." + attempt},
                                      {"X-Instance-Load", std::to_string(m_places) + ",0,6"}},
                                     "done " + attempt));
            });
    }

    world &m_world;
    std::map<std::string, std::vector<std::string>> &m_runs;
    int m_number;
    bool m_copies;
    int m_nextCopy = AnswersPerCopy;
    std::size_t m_places = 0;
    std::map<conn *, std::string> m_late;
    std::mt19937 m_random;

public:
    http_server server;
};

} // namespace

int main()
{
    world w;
    std::map<std::string, std::vector<std::string>> runs; // of each request, by server
    std::vector<std::unique_ptr<plain_server>> servers;
    for (int i = 0; i < Servers; ++i)
        servers.push_back(std::make_unique<plain_server>(w, i, runs));

    w.publish(
        R"({"version":7,"routes":[{"name":"r","hostname":"jepu9.example","path_prefix":"/bobo563/","type":"unsafe",)"
        R"("timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"portal-web","max_attempts":2,"stages":[],)"
        R"("anonymous":false,"session_affinity":false,"resumable":false}],"services":[{"name":"portal-web",)"
        R"("health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]})");
    const char *zones[] = {"ulemiste-a", "ulemiste-b", "lasnamae", "mustamae"};
    for (int i = 0; i < Servers; ++i)
        w.announce(servers[i]->id, "portal-web", servers[i]->server.at(), zones[i], 6);

    auto &node = w.add("edge-ulemiste-a-1", "ulemiste-a");
    w.start(node);
    w.awaitReady(node);
    w.l.runFor(ms{1500});

    std::vector<std::unique_ptr<client>> clients;
    int open = 0;
    std::map<int, int> answered; // by status
    std::map<std::string, int> statusOf;
    std::function<void(int, int)> next = [&](int who, int number) {
        if (clock::now() - startTime() > TrafficTime) {
            --open;
            return;
        }
        const auto attempt = "a" + std::to_string(who) + "r" + std::to_string(1000 + number);
        record("client sends %s", attempt.c_str());
        clients[who]->send(requestText("POST", "/bobo563/lo7/2f", "jepu9.example", attempt, 600,
                                       {{"Api-Key", "k1"}}, "sign up " + attempt),
                           [&, who, number, attempt](const answer_ptr &answer) {
                               record("client gets %d for %s", answer->status, attempt.c_str());
                               ++answered[answer->status];
                               statusOf[attempt] = answer->status;
                               w.l.after(ms{answer->status == 200 ? 20 + 7 * who : 400},
                                         [&, who, number] { next(who, number + 1); });
                           });
    };
    for (int i = 0; i < Clients; ++i) {
        clients.push_back(std::make_unique<client>(w.l, node.clients));
        ++open;
        w.l.after(ms{20 * i}, [&, i] { next(i, 0); });
    }
    w.l.runUntil(ms{70000}, [&] { return open == 0; });

    int copies = 0;
    int answers = 0;
    int rejections = 0;
    int twice = 0;
    int promised = 0;
    for (const auto &each : servers) {
        copies += each->copies;
        answers += each->answers;
        rejections += each->rejections;
    }
    for (const auto &[attempt, where] : runs) {
        if (where.size() > 1) {
            ++twice;
            record("request %s ran %zu times, at %s and %s", attempt.c_str(), where.size(),
                   where[0].c_str(), where[1].c_str());
        }
        const int status = statusOf[attempt];
        if (status == 503 || status == 429) {
            ++promised;
            record("request %s was answered %d and has run", attempt.c_str(), status);
        }
    }
    for (const auto &[status, count] : answered)
        record("answers with %d: %d", status, count);
    record("%d answers of servers, %d of them rejections, %d sent again; %zu requests ran", answers,
           rejections, copies, runs.size());
    if (answered[200] < 300)
        cannotRun("too few requests were served");
    if (w.hasTrouble && copies == 0)
        cannotRun("no answer was sent again");
    return verdict(twice + promised > 0,
                   "TWICE, " + std::to_string(twice) + " of " + std::to_string(runs.size())
                       + " requests ran twice; REFUSED, " + std::to_string(promised)
                       + " were answered 503 and have run");
}
