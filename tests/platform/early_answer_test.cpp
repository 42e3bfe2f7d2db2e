// Servers that answer before they have read the request, and then end the connection.
#include "cut_off_world.h"

#include <catch2/catch.hpp>

#include <string>

using namespace orchidlead;
using namespace orchidlead::platform_world;

namespace {

constexpr std::size_t UploadBytes = 8U << 20U; ///< more than the system buffers
const std::string Body = "all of the answer";

enum class framing { Length, Chunked, None };
enum class ending { Reset, Close };

/// Returns a signed answer, or one of which the end is missing.
std::string answerTo(const server_request &request, int status, framing how, bool whole)
{
    const auto attempt = http::findField(request.head.fields, "x-attempt-id").value_or("");
    auto text = "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + std::string(attempt)
        + "\r\nX-Instance-Signature: sig\r\n";
    const auto sent = whole ? Body : Body.substr(0, Body.size() / 2);
    switch (how) {
    case framing::Length:
        text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + sent;
        break;
    case framing::Chunked:
        text += "Transfer-Encoding: chunked\r\n\r\n" + chunk(sent) + (whole ? "0\r\n\r\n" : "");
        break;
    case framing::None:
        text += "Connection: close\r\n\r\n" + sent;
        break;
    }
    return text;
}

/// A gateway and a server that answers before it reads the body of a request.
struct early_world : world
{
    explicit early_world(const std::string &kind)
    {
        maxBodyBytes = UploadBytes;
        publish(1, plainRoute(kind));
        startGateway("g1");
    }
    /// Sends a long request; the server writes `text` and ends the connection after `delay`.
    std::shared_ptr<client_answer> upload(int status, framing how, bool whole, ending end,
                                          milliseconds delay = milliseconds{50})
    {
        server.answerBeforeBody([=, this](const server_request &received,
                                          const std::shared_ptr<server_answer> &answer) {
            answer->write(answerTo(received, status, how, whole));
            loop.callAfter(delay, [answer, end] {
                if (end == ending::Reset)
                    answer->reset();
                else
                    answer->close();
            });
        });
        const auto answer =
            request("g1", makeRequest("POST", "/p/x", "a1"), std::string(UploadBytes, 'u'));
        REQUIRE(await(answer));
        return answer;
    }

    fake_server &server = addServer("web", "s-1");
};

} // namespace

// Guards against a part of an answer that is forwarded as a complete one because its connection
// ended while the request was being written.
TEST_CASE("an early success whose connection ends before the request was sent is not complete")
{
    const auto kind = GENERATE(as<std::string>{}, "unsafe", "safe");
    const auto how = GENERATE(framing::Length, framing::Chunked, framing::None);
    const auto end = GENERATE(ending::Reset, ending::Close);
    CAPTURE(kind, static_cast<int>(how), static_cast<int>(end));
    early_world w(kind);
    const auto answer = w.upload(200, how, false, end);
    CHECK(answer->status == 502);
    CHECK(answer->end == http::call_end::Complete);
    CHECK((kind == "safe" || w.server.requests().size() == 1));
}

// Guards against an answer without a length that is taken for complete as the connection ends in
// order, although the server hasn't read the request.
TEST_CASE("an early success without a length is not complete while the request is being written")
{
    early_world w("unsafe");
    const auto answer = w.upload(200, framing::None, true, ending::Close);
    CHECK(answer->status == 502);
    CHECK(w.server.requests().size() == 1);
}

// Guards against whole early answers that are lost because the rest of the request can't be sent.
TEST_CASE("an early answer that is complete reaches the client although its request isn't sent")
{
    const auto kind = GENERATE(as<std::string>{}, "unsafe", "safe");
    const int status = GENERATE(200, 413, 422);
    const auto how = GENERATE(framing::Length, framing::Chunked);
    const auto end = GENERATE(ending::Reset, ending::Close);
    const auto delay = GENERATE(milliseconds{0}, milliseconds{100});
    CAPTURE(kind, status, static_cast<int>(how), static_cast<int>(end), delay.count());
    early_world w(kind);
    const auto answer = w.upload(status, how, true, end, delay);
    CHECK(answer->status == status);
    CHECK(answer->body == Body);
    CHECK(answer->end == http::call_end::Complete);
}

// Guards against a final answer with an undefined status: forwarded, or waited for until the
// timeout of the request.
TEST_CASE("an answer with an undefined status is none, and another server is tried where allowed")
{
    const auto status = GENERATE(as<std::string>{}, "000", "099", "600", "999", "2x0");
    const auto kind = GENERATE(as<std::string>{}, "unsafe", "safe");
    CAPTURE(status, kind);
    world w;
    w.addServer("web", "s-1");
    w.addServer("web", "s-2");
    w.publish(1, plainRoute(kind));
    w.startGateway("g1");
    int arrived = 0;
    for (const auto *id : {"s-1", "s-2"})
        w.server(id).setBehaviour([&](const server_request &request, const auto &answer) {
            auto text = signedAnswer(request, "done");
            if (++arrived == 1)
                text.replace(text.find("200"), 3, status);
            answer->write(text);
        });
    const auto began = w.clock.now();
    const auto answer = w.request("g1", makeRequest("POST", "/p/x", "a1"), "x");
    REQUIRE(w.await(answer));
    CHECK(answer->status == (kind == "safe" ? 200 : 502));
    CHECK(arrived == (kind == "safe" ? 2 : 1));
    CHECK(w.clock.now() - began < milliseconds{1000});
}
