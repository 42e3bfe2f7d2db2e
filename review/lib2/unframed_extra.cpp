// Case: a server sends an answer without a length, which ends with its connection, and a second
// answer behind it. Up to 128 KiB the gateway notices the second answer; a longer body is passed on
// with the second answer as its end, and looks complete.
//
// One gateway, 4 servers of a plain service whose answers have 200 KB and no length. One of the
// servers sends at most one in 50 of its answers with a second one behind it, in spans of 5 s with
// 5 s between them.
#include "lab.h"

using namespace lab;

namespace {

constexpr std::size_t BodyBytes = 200'000;
constexpr int Servers = 4;
constexpr int Clients = 4;
constexpr ms TrafficTime{25000};
constexpr int ExtraServers = 1;
constexpr int AnswersPerExtra = 50;
constexpr ms ExtraTime{5000};
constexpr ms ExtraPeriod{10000};

std::string bodyOf(const std::string &attempt)
{
    std::string body;
    while (body.size() < BodyBytes)
        body += "list of " + attempt + "\n";
    return body;
}

} // namespace

int main()
{
    world w;
    int answers = 0;
    int extras = 0;
    std::vector<std::unique_ptr<http_server>> servers;
    std::vector<int> countOf(Servers, 0);
    std::vector<int> nextExtra(Servers, AnswersPerExtra);
    for (int i = 0; i < Servers; ++i) {
        const auto id = "i-portal-" + std::to_string(i);
        servers.push_back(std::make_unique<http_server>(
            w.l, "127.0.0.1", [&, id, i](const message &request, const conn_ptr &to) {
                if (request.target() == "/healthz") {
                    to->write(answerText(200, {{"X-Instance-Id", id}}, ""));
                    return;
                }
                const auto attempt = request.field("X-Attempt-Id");
                w.l.after(ms{15}, [&, id, i, attempt, to] {
                    record("%s runs %s", id.c_str(), attempt.c_str());
                    ++answers;
                    ++countOf[i];
                    const auto text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                        + "\r\nX-Instance-Signature: " + id + "." + attempt + "\r\n\r\n"
                        + bodyOf(attempt);
                    to->write(text);
                    const bool due = (clock::now() - startTime()) % ExtraPeriod < ExtraTime;
                    if (w.hasTrouble && i < ExtraServers && due && countOf[i] >= nextExtra[i]) {
                        nextExtra[i] = countOf[i] + AnswersPerExtra;
                        ++extras;
                        record("%s sends its answer to %s a second time behind the first",
                               id.c_str(), attempt.c_str());
                        to->write(text);
                    }
                    to->closeAfterWrite();
                });
            }));
    }
    w.publish(
        R"({"version":7,"routes":[{"name":"r","hostname":"jepu9.example","path_prefix":"/bobo563/","type":"safe",)"
        R"("timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"portal-web","max_attempts":2,"stages":[],)"
        R"("anonymous":false,"session_affinity":false,"resumable":false}],"services":[{"name":"portal-web",)"
        R"("health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]})");
    const char *zones[] = {"ulemiste-a", "ulemiste-b", "lasnamae", "mustamae"};
    for (int i = 0; i < Servers; ++i)
        w.announce("i-portal-" + std::to_string(i), "portal-web", servers[i]->at(), zones[i], 6);
    auto &node = w.add("edge-ulemiste-a-1", "ulemiste-a");
    w.start(node);
    w.awaitReady(node);
    w.l.runFor(ms{1000});

    std::vector<std::unique_ptr<client>> clients;
    int open = 0;
    int whole = 0;
    int mixed = 0;
    std::function<void(int, int)> next = [&](int who, int number) {
        if (clock::now() - startTime() > TrafficTime) {
            --open;
            return;
        }
        const auto attempt = "a" + std::to_string(who) + "r" + std::to_string(1000 + number);
        record("client sends %s", attempt.c_str());
        clients[who]->send(
            requestText("GET", "/bobo563/lo7/2f", "jepu9.example", attempt, 3000,
                        {{"Api-Key", "k1"}}),
            [&, who, number, attempt](const answer_ptr &answer) {
                const auto &body = answer->content.body;
                const bool complete = answer->whole && answer->status == 200;
                const bool own = body == bodyOf(attempt);
                whole += complete ? 1 : 0;
                mixed += complete && !own ? 1 : 0;
                record("client gets %d for %s, %s, %zu bytes%s", answer->status, attempt.c_str(),
                       answer->whole ? "complete" : "cut", body.size(),
                       complete && !own ? ", not the server's body" : "");
                w.l.after(ms{10 + 7 * who}, [&, who, number] { next(who, number + 1); });
            });
    };
    for (int i = 0; i < Clients; ++i) {
        clients.push_back(std::make_unique<client>(w.l, node.clients));
        ++open;
        w.l.after(ms{20 * i}, [&, i] { next(i, 0); });
    }
    w.l.runUntil(TrafficTime + ms{10000}, [&] { return open == 0; });
    record("%d answers of servers, %d of them with a second one behind; %d whole successes, %d "
           "with another body",
           answers, extras, whole, mixed);
    if (whole < 300)
        cannotRun("too few requests were served");
    if (w.hasTrouble && extras == 0)
        cannotRun("no second answer was sent");
    return verdict(mixed > 0,
                   "MIXED, " + std::to_string(mixed) + " of " + std::to_string(whole)
                       + " successes had a body that isn't the server's, of "
                       + std::to_string(extras) + " second answers");
}
