#include "loaded_fleet.h"

#include "wire/json_text.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace orchidlead::platform_world {

loaded_fleet::loaded_fleet(const std::string &routes, const std::string &services)
{
    publish(1, routes, services);
}

void loaded_fleet::startNodes()
{
    for (const auto *name : FleetNodes)
        startGateway(name);
    runFor(milliseconds{1200}); // the nodes discover each other
}

fake_server &loaded_fleet::addRecordingServer(const std::string &service, const std::string &id,
                                              const std::string &dataCenter)
{
    auto &added = addServer(service, id, dataCenter);
    added.setBehaviour(
        [this, id](const server_request &request, const std::shared_ptr<server_answer> &answer) {
            onRequest(id, request, answer);
        });
    return added;
}

void loaded_fleet::onRequest(const std::string &id, const server_request &request,
                             const std::shared_ptr<server_answer> &answer)
{
    const auto attempt = http::findField(request.head.fields, "x-attempt-id").value_or("");
    const auto known = m_byAttempt.find(std::string(attempt));
    const auto from = known == m_byAttempt.end() ? sent_request{} : known->second;
    arrivals[id].push_back({clock.now(), from.node, from.at, request.head.target});
    if (refusing.contains(id)) {
        answer->write(
            withFields(id,
                       "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + std::string(attempt)
                           + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
        return;
    }
    loop.callAfter(ServerResponseTime,
                   [this, id, request, answer] { answerTo(id, request, answer); });
}

void loaded_fleet::answerTo(const std::string &id, const server_request &request,
                            const std::shared_ptr<server_answer> &answer)
{
    if (request.head.target.starts_with("/p/"))
        answer->write(withFields(id, signedAnswer(request, "done")));
    else if (request.head.target.starts_with("/s/"))
        answer->write(
            withFields(id, streamHead(request) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"));
    else
        answer->write(withFields(id, stageAnswer(id, request)));
}

std::string loaded_fleet::stageAnswer(const std::string &id, const server_request &request)
{
    std::string body;
    if (request.head.target == "/stage-run") {
        const auto count = wire::parseJson(request.body).value()["items"].size();
        for (unsigned i = 0; i < count; ++i)
            body += std::string(i == 0 ? "" : ",") + R"({"handle":")" + toText(server(id).address())
                + "/" + std::to_string(++pieces) + R"("})";
        body = R"({"items":[)" + body + "]}";
    }
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string loaded_fleet::withFields(const std::string &id, const std::string &answer) const
{
    const auto firstLine = answer.find("\r\n") + 2;
    return answer.substr(0, firstLine) + (fieldsOf ? fieldsOf(id) : "") + answer.substr(firstLine);
}

void loaded_fleet::send(const std::string &path, const std::string &pieceCounts)
{
    std::string next;
    do
        next = FleetNodes[++m_nextNode % FleetNodes.size()];
    while (nodesWithoutRequests.contains(next));
    sendTo(next, path, pieceCounts);
}

void loaded_fleet::sendTo(const std::string &to, const std::string &path,
                          const std::string &pieceCounts)
{
    const auto attempt = "a-" + std::to_string(++m_sent);
    auto head = makeRequest("POST", path, attempt);
    if (path.starts_with("/s/"))
        head.fields.push_back({"X-Prefix-Hash", attempt + ":400"});
    if (!pieceCounts.empty()) {
        head.fields.push_back({"X-Chunk-Count", pieceCounts});
        head.fields.push_back({"X-Chunk-Key", attempt});
    }
    m_byAttempt[attempt] = {to, clock.now()};
    requests.push_back({to, request(to, std::move(head), "body"), clock.now(), {}});
}

void loaded_fleet::load(const std::string &path, milliseconds time, const std::string &pieceCounts)
{
    const auto end = clock.now() + time;
    while (clock.now() < end) {
        send(path, pieceCounts);
        runFor(RequestInterval);
        recordEnds();
    }
    awaitAllRequests();
}

void loaded_fleet::awaitAllRequests()
{
    REQUIRE(runUntil([&] {
        recordEnds();
        return std::ranges::all_of(
            requests, [](const fleet_request &each) { return each.endedAt.has_value(); });
    }));
}

void loaded_fleet::recordEnds()
{
    for (auto &each : requests) {
        if (!each.endedAt && each.answer->ended)
            each.endedAt = clock.now();
    }
}

std::size_t loaded_fleet::lateRefusals() const
{
    return static_cast<std::size_t>(std::ranges::count_if(requests, [](const fleet_request &each) {
        return each.answer->status == 503 && *each.endedAt - each.at > ImmediateRefusalLimit;
    }));
}

std::size_t loaded_fleet::answeredWith(int status) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        requests, [&](const fleet_request &each) { return each.answer->status == status; }));
}

std::size_t loaded_fleet::arrivalsSince(const std::string &id, steady_time since) const
{
    const auto found = arrivals.find(id);
    if (found == arrivals.end())
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(
        found->second, [&](const arrival &each) { return each.at >= since; }));
}

} // namespace orchidlead::platform_world
