#include "recorded_stages.h"

#include "wire/json_text.h"

#include <utility>

namespace orchidlead::platform_world {

void recorded_stages::serve(fake_server &server, answer_sender send)
{
    server.setBehaviour(
        [this, &server, send = std::move(send)](const server_request &request,
                                                const std::shared_ptr<server_answer> &answer) {
            if (request.head.target != "/stage-free") {
                lastCalled = &server;
                send(answer, compute(server, request));
                return;
            }
            const auto body = wire::parseJson(request.body);
            for (const auto &handle : body.value()["handles"])
                freed.insert(m_made[handle.asString()]);
            answer->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        });
}

std::string recorded_stages::compute(const fake_server &server, const server_request &request)
{
    const auto body = wire::parseJson(request.body);
    std::string results;
    for (const auto &item : body.value()["items"]) {
        const auto attempt = item["id"].asString();
        const auto handle = toText(server.address()) + "/" + std::to_string(m_made.size());
        m_made[handle] = attempt;
        ++computed[attempt];
        results += (results.empty() ? R"({"handle":")" : R"(,{"handle":")") + handle + "\"}";
    }
    const auto text = R"({"items":[)" + results + "]}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace orchidlead::platform_world
