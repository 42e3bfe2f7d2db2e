#include "net_test_support.h"
#include "test_certificate.h"

#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <map>
#include <thread>

using namespace orchidlead::net;
using Catch::Matchers::Contains;
using std::chrono::milliseconds;

namespace {

struct curl_result
{
    std::string output;
    int exitCode = -1;
};

curl_result runCurl(const std::string &arguments)
{
    const std::string command =
        "curl -sS -k --no-progress-meter --http2 --max-time 15 " + arguments + " 2>&1";
    curl_result result;
    std::FILE *pipe = popen(command.c_str(), "r");
    std::array<char, 65536> buffer{};
    for (std::size_t n = 0; (n = std::fread(buffer.data(), 1, buffer.size(), pipe)) > 0;)
        result.output.append(buffer.data(), n);
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

/// A server that offers HTTP/2, with curl as its client.
class http2_fixture
{
public:
    explicit http2_fixture(http_handler handler, http_server_options options = {})
    {
        options.tlsCertificateFile = m_certificate.certificateFile();
        options.tlsKeyFile = m_certificate.keyFile();
        options.offerHttp2 = true;
        m_server = serve(m_loop, std::move(handler), options);
    }

    test_loop &loop() { return m_loop; }
    http_server &server() { return *m_server; }
    [[nodiscard]] std::string url(const std::string &path) const
    {
        return "https://127.0.0.1:" + std::to_string(m_server->port()) + path;
    }
    /// Runs curl in another thread, and the loop in this thread until curl exits.
    curl_result curl(const std::string &arguments)
    {
        curl_result result;
        std::thread client([&] {
            result = runCurl(arguments);
            m_loop->post([this] { m_loop->stop(); });
        });
        m_loop.run();
        client.join();
        return result;
    }

private:
    test_certificate m_certificate;
    test_loop m_loop;
    std::unique_ptr<http_server> m_server;
};

std::string writeTemporaryFile(const std::string &text)
{
    std::string name = (std::filesystem::temp_directory_path() / "body-XXXXXX").string();
    const int fd = mkstemp(name.data());
    ::close(fd);
    std::ofstream(name) << text;
    return name;
}

} // namespace

TEST_CASE("Over HTTP/2, request and response bodies arrive whole")
{
    const auto size = GENERATE(std::size_t{0}, std::size_t{10}, std::size_t{200000});
    const auto answerSize = GENERATE(std::size_t{0}, std::size_t{10}, std::size_t{700000});
    CAPTURE(size, answerSize);
    http_request seen;
    http2_fixture fixture([&](http_request &&request, const response_ptr &response) {
        seen = std::move(request);
        response->respond(200, {{"content-type", "text/plain"}}, std::string(answerSize, 'y'));
    });
    const std::string body(size, 'x');
    const std::string file = writeTemporaryFile(body);

    const auto got = fixture.curl("-w '%{http_version}' --data-binary @" + file + " '"
                                  + fixture.url("/run?a=1&b=2") + "'");
    std::filesystem::remove(file);

    CHECK(got.exitCode == 0);
    CHECK(got.output.size() == answerSize + 1);
    CHECK(got.output.ends_with("2"));
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/run");
    CHECK(seen.query == "a=1&b=2");
    CHECK((seen.body == body));
}

TEST_CASE("Over HTTP/2, a response written in parts arrives in order")
{
    test_loop *loop = nullptr;
    http2_fixture fixture([&](http_request &&, const response_ptr &response) {
        response->begin(200, {{"content-type", "text/event-stream"}});
        for (int i = 0; i < 5; ++i) {
            (*loop)->callAfter(milliseconds{i * 3}, [response, i] {
                response->write("part " + std::to_string(i) + "\n");
                if (i == 4)
                    response->finish();
            });
        }
    });
    loop = &fixture.loop();

    const auto got = fixture.curl("-N " + fixture.url("/stream"));

    CHECK(got.exitCode == 0);
    CHECK(got.output == "part 0\npart 1\npart 2\npart 3\npart 4\n");
}

TEST_CASE("Over HTTP/2, concurrent requests each get their own response")
{
    test_loop *loop = nullptr;
    http2_fixture fixture([&](http_request &&request, const response_ptr &response) {
        const auto delay = milliseconds{std::stoi(request.path.substr(1)) * 7 % 20};
        (*loop)->callAfter(delay, [response, path = request.path] {
            response->respond(200, {}, "<" + path + ">\n");
        });
    });
    loop = &fixture.loop();

    const auto got = fixture.curl("--parallel --parallel-max 20 '" + fixture.url("/[1-60]") + "'");

    CHECK(got.exitCode == 0);
    for (int i = 1; i <= 60; ++i)
        CHECK_THAT(got.output, Contains("</" + std::to_string(i) + ">\n"));
    CAPTURE(got.output);
    CHECK(std::count(got.output.begin(), got.output.end(), '\n') == 60);
}

TEST_CASE("Over HTTP/2, the disconnection of a client is reported once")
{
    int closed = 0;
    response_ptr held;
    const bool begun = GENERATE(false, true);
    const std::string data = GENERATE("", "-d x ");
    CAPTURE(begun, data);
    http2_fixture fixture([&](http_request &&, response_ptr response) {
        response->onClosed([&] { ++closed; });
        if (begun)
            response->begin(200, {});
        held = std::move(response);
    });

    const auto got = fixture.curl("--max-time 2 " + data + fixture.url("/wait"));

    CHECK(got.exitCode != 0);
    REQUIRE(held);
    CHECK(fixture.loop().runUntil([&] { return closed > 0; }));
    CHECK(closed == 1);
    held->write("after the end");
    held->finish();
    CHECK(fixture.loop().runUntil([&] { return fixture.server().connections() == 0; }));
}

TEST_CASE("Over HTTP/2, a body that exceeds the limit is refused")
{
    http_server_options options;
    options.maxBodyBytes = 1000;
    int handled = 0;
    http2_fixture fixture([&](http_request &&, const response_ptr &) { ++handled; }, options);
    const std::string file = writeTemporaryFile(std::string(3000000, 'x'));

    const auto got =
        fixture.curl("-w ' %{http_code}' --data-binary @" + file + " " + fixture.url("/run"));
    std::filesystem::remove(file);

    CHECK_THAT(got.output, Contains("too_large"));
    CHECK_THAT(got.output, Contains(" 413"));
    CHECK(handled == 0);
}

TEST_CASE("Over HTTP/2, a client detects an incomplete response")
{
    http2_fixture fixture([](http_request &&, const response_ptr &response) {
        response->begin(200, {});
        response->write("only this");
    });

    const auto got = fixture.curl("--max-time 3 " + fixture.url("/run"));

    CHECK(got.exitCode != 0);
}

TEST_CASE("Over HTTP/2, the queue for a slow reader stays within the limit")
{
    http_server_options options;
    options.maxQueuedResponseBytes = 1U << 20U;
    test_loop *loop = nullptr;
    response_ptr held;
    bool closed = false;
    std::size_t maxQueuedBytes = 0;
    std::function<void()> produce = [&] {
        if (!held->open())
            return;
        held->write(std::string(1U << 16U, 'x'));
        maxQueuedBytes = std::max(maxQueuedBytes, held->queuedBytes());
        (*loop)->callAfter(std::chrono::microseconds{100}, produce);
    };
    http2_fixture fixture(
        [&](http_request &&, response_ptr response) {
            held = std::move(response);
            held->onClosed([&] { closed = true; });
            held->begin(200, {});
            produce();
        },
        options);
    loop = &fixture.loop();

    const auto got =
        fixture.curl("--max-time 4 --limit-rate 1000 -o /dev/null " + fixture.url("/run"));

    CHECK(got.exitCode != 0);
    CHECK(fixture.loop().runUntil([&] { return closed; }));
    CHECK(maxQueuedBytes <= (1U << 20U) + (1U << 17U));
}
