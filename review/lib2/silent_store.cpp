// Case: the open connections of the gateways to the store go silent, without a reset; new ones
// work. 3.3 s later, when that is over for the rules, the entry of a server that leaves without
// saying so is removed. The gateways read the removal at once, but go on sending to the server
// for 2.3 s, longer than `drain_ms`. What it runs when it exits is lost.
//
// Two gateways, 5 servers of a plain service. In each of three rounds a server leaves: its entry is
// removed, another server has been announced before, and it serves for `drain_ms` and 0.2 s more.
#include "lab.h"

using namespace lab;

namespace {

constexpr ms DrainTime{2000}; // `drain_ms`
constexpr int Rounds = 3;
constexpr ms RoundTime{13000};
constexpr ms RemovalAt{5000}; // in a round
constexpr ms SilenceBeforeRemoval{3300}; // longer than `contact_ms`, 3,000
constexpr ms ServesAfterRemoval{2200};
constexpr ms WorkTime{60};
constexpr int FirstServers = 5;
constexpr int Clients = 12;

struct plain_server
{
    plain_server(world &w, int number)
        : id("i-portal-" + std::to_string(number))
        , m_world(w)
        , server(w.l, "127.0.0.1",
                 [this](const message &request, const conn_ptr &to) { onRequest(request, to); })
    { }

    std::string id;
    bool isRemoved = false;
    std::set<std::string> running;
    std::set<std::string> lateRequests;
    clock::time_point removedAt{};
    int late = 0;
    ms latest{0};

private:
    void onRequest(const message &request, const conn_ptr &to)
    {
        if (request.field("X-Expected-Instance") != id) {
            to->write(answerText(421, {{"X-Instance-Id", id}}, ""));
            return;
        }
        if (request.target() == "/healthz") {
            to->write(answerText(200, {{"X-Instance-Id", id}, {"X-Instance-Load", "0,0,6"}}, ""));
            return;
        }
        const auto attempt = request.field("X-Attempt-Id");
        if (isRemoved) {
            const auto since = std::chrono::duration_cast<ms>(clock::now() - removedAt);
            latest = std::max(latest, since);
            if (since > DrainTime) {
                ++late;
                lateRequests.insert(attempt);
            }
            record("%s gets %s %lld ms after the store accepted its removal", id.c_str(),
                   attempt.c_str(), static_cast<long long>(since.count()));
        }
        running.insert(attempt);
        record("%s runs %s", id.c_str(), attempt.c_str());
        m_world.l.after(WorkTime, [this, attempt, to] {
            running.erase(attempt);
            to->write(answerText(200,
                                 {{"X-Attempt-Id", attempt},
                                  {"X-Instance-Signature", id + "." + attempt},
                                  {"X-Instance-Load", "0,0,6"}},
                                 "done " + attempt));
        });
    }

    world &m_world;

public:
    http_server server;
};

} // namespace

int main()
{
    world w;
    std::vector<std::unique_ptr<plain_server>> servers;
    const char *zones[] = {"ulemiste-a", "ulemiste-b", "lasnamae", "mustamae"};
    w.publish(
        R"({"version":7,"routes":[{"name":"r","hostname":"jepu9.example","path_prefix":"/bobo563/","type":"unsafe",)"
        R"("timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"portal-web","max_attempts":2,"stages":[],)"
        R"("anonymous":false,"session_affinity":false,"resumable":false}],"services":[{"name":"portal-web",)"
        R"("health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]})");
    const auto addServer = [&] {
        const int number = static_cast<int>(servers.size());
        servers.push_back(std::make_unique<plain_server>(w, number));
        w.announce(servers.back()->id, "portal-web", servers.back()->server.at(), zones[number % 4],
                   6);
    };
    for (int i = 0; i < FirstServers; ++i)
        addServer();

    auto &one = w.add("edge-ulemiste-a-1", "ulemiste-a");
    auto &two = w.add("edge-ulemiste-b-1", "ulemiste-b");
    w.start(one);
    w.start(two);
    w.awaitReady(one);
    w.awaitReady(two);
    w.l.runFor(ms{5000});

    bool stopped = false;
    std::map<int, int> answered;
    std::vector<std::unique_ptr<client>> clients;
    std::function<void(int, int)> next = [&](int who, int number) {
        if (stopped)
            return;
        const auto attempt = "a" + std::to_string(who) + "r" + std::to_string(1000 + number);
        record("client sends %s", attempt.c_str());
        clients[who]->send(requestText("POST", "/bobo563/lo7/2f", "jepu9.example", attempt, 600,
                                       {{"Api-Key", "k1"}}, "sign up " + attempt),
                           [&, who, number, attempt](const answer_ptr &answer) {
                               ++answered[answer->status];
                               record("client gets %d for %s", answer->status, attempt.c_str());
                               w.l.after(ms{60 + 7 * who},
                                         [&, who, number] { next(who, number + 1); });
                           });
    };
    for (int i = 0; i < Clients; ++i) {
        clients.push_back(std::make_unique<client>(w.l, (i % 2 == 0 ? one : two).clients));
        w.l.after(ms{20 * i}, [&, i] { next(i, 0); });
    }

    for (int round = 0; round < Rounds; ++round) {
        w.l.after(RoundTime * round, [&] { addServer(); });
        w.l.after(RoundTime * round + RemovalAt - SilenceBeforeRemoval, [&] {
            if (w.hasTrouble)
                record("%zu connections to the store go silent", w.platform.goSilent());
        });
        w.l.after(RoundTime * round + RemovalAt, [&, round] {
            auto &leaving = *servers[round];
            w.platform.remove("servers/" + leaving.id);
            leaving.isRemoved = true;
            leaving.removedAt = clock::now();
            record("store: the entry of %s is removed", leaving.id.c_str());
            w.l.after(ServesAfterRemoval, [&] {
                for (const auto &attempt : leaving.running)
                    record("%s exits while it runs %s%s", leaving.id.c_str(), attempt.c_str(),
                           leaving.lateRequests.contains(attempt)
                               ? ", which came later than drain_ms"
                               : "");
                leaving.server.end();
            });
        });
    }
    w.l.runFor(RoundTime * Rounds + ms{1000});
    stopped = true;
    w.l.runFor(ms{700});

    int late = 0;
    int broken = 0;
    for (const auto &each : servers) {
        if (!each->isRemoved)
            continue;
        late += each->late;
        broken += each->late > 0 ? 1 : 0;
        record("%s got its last request %lld ms after its removal, %d requests later than drain_ms",
               each->id.c_str(), static_cast<long long>(each->latest.count()), each->late);
    }
    for (const auto &[status, count] : answered)
        record("answers with %d: %d", status, count);
    if (answered[200] < 800)
        cannotRun("too few requests were served");
    return verdict(late > 0,
                   "DRAIN, " + std::to_string(late) + " requests reached " + std::to_string(broken)
                       + " of " + std::to_string(Rounds)
                       + " leaving servers later than drain_ms after their removal");
}
