#include "engine_process.h"

#include "platform_world.h"

#include <catch2/catch.hpp>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <new>
#include <string>
#include <utility>

namespace orchidlead::platform_world {

namespace {

milliseconds firstByteDelay(int request)
{
    return milliseconds{request * 13 % 400};
}

// Catch handles these signals, and a child that holds connections of the test keeps them open.
void prepareChild()
{
    constexpr unsigned FirstOpenFile = 3;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const int number : {SIGTERM, SIGINT, SIGSEGV, SIGABRT, SIGFPE, SIGILL})
        std::signal(number, SIG_DFL);
    std::signal(SIGPIPE, SIG_IGN);
    ::close_range(FirstOpenFile, ~0U, 0);
}

class engine
{
public:
    engine(engine_memory &memory, std::size_t index)
        : m_memory(memory)
        , m_signature("engine-" + std::to_string(index))
    {
        m_shared->onRequest = [this](const http::inbound_ptr &client, http::request_head &&head,
                                     std::string && /*body*/) { answer(client, head); };
        auto created = http::listener::create(m_loop, {"127.0.0.1", 0}, m_shared);
        if (!created)
            return;
        m_listener = std::move(created).value();
        m_memory.ports[index] = m_listener->port();
    }
    void run() { m_loop.run(); }

private:
    void answer(const http::inbound_ptr &client, const http::request_head &head)
    {
        http::response_head answer;
        answer.status = 200;
        answer.fields = {{"X-Attempt-Id",
                          std::string(http::findField(head.fields, "x-attempt-id").value_or(""))},
                         {"X-Instance-Signature", m_signature}};
        if (head.target.size() < 4 || head.target[2] != '/') {
            client->respond(answer.status, answer.fields, "done");
            return;
        }
        const auto kind = static_cast<route_kind>(head.target[1]);
        const int request = std::stoi(head.target.substr(3));
        m_memory.arrivals.at(m_memory.arrivalCount++) = {request, m_loop.now()};
        const auto delay = firstByteDelay(request);
        if (!isStream(kind)) {
            m_loop.callAfter(delay + EventInterval * (request % 10), [client, answer] {
                client->respond(answer.status, answer.fields, "done");
            });
            return;
        }
        answer.fields.push_back({"Content-Type", "text/event-stream"});
        const auto last = http::findField(head.fields, "last-event-id");
        const int first = last ? std::stoi(std::string(*last)) + 1 : 1;
        // Half of the streams send their head at once, the others with the first event.
        const bool headFirst = request % 2 == 0;
        if (headFirst)
            client->begin(answer);
        m_loop.callAfter(delay, [this, client, answer, headFirst, first, request] {
            if (!headFirst && client->open())
                client->begin(answer);
            writeEvents(client, first, eventCount(request));
        });
    }

    void writeEvents(const http::inbound_ptr &client, int number, int count)
    {
        if (!client->open())
            return;
        if (number > count) {
            client->finish();
            return;
        }
        client->write(event(number));
        m_loop.callAfter(EventInterval,
                         [this, client, number, count] { writeEvents(client, number + 1, count); });
    }

    engine_memory &m_memory;
    std::string m_signature;
    system_clock_source m_clock;
    http::io_loop m_loop{m_clock};
    std::shared_ptr<http::inbound_shared> m_shared = std::make_shared<http::inbound_shared>();
    std::unique_ptr<http::listener> m_listener;
};

} // namespace

bool isStream(route_kind kind)
{
    return kind == route_kind::Resumable || kind == route_kind::NotResumable;
}

bool mayRepeat(route_kind kind)
{
    return kind == route_kind::Resumable || kind == route_kind::Safe;
}

int eventCount(int request)
{
    return 15 + request * 7 % 30;
}

shared_memory::shared_memory()
    : m_bytes(::mmap(nullptr, sizeof(engine_memory), PROT_READ | PROT_WRITE,
                     MAP_SHARED | MAP_ANONYMOUS, -1, 0))
{
    REQUIRE(m_bytes != MAP_FAILED);
    m_memory = new (m_bytes) engine_memory;
}

shared_memory::~shared_memory()
{
    ::munmap(m_bytes, sizeof(engine_memory));
}

child_process::child_process(const std::function<void()> &run)
    : m_pid(::fork())
{
    REQUIRE(m_pid >= 0);
    if (m_pid != 0)
        return;
    prepareChild();
    // An exception must not reach the tests of the parent.
    try {
        run();
    } catch (...) {
        ::_exit(EXIT_FAILURE);
    }
    ::_exit(EXIT_FAILURE);
}

child_process::~child_process()
{
    if (!running())
        return;
    signal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void child_process::signal(int number)
{
    if (running())
        ::kill(m_pid, number);
}

bool child_process::running()
{
    if (!m_reaped)
        m_reaped = ::waitpid(m_pid, &m_status, WNOHANG) == m_pid;
    return !m_reaped;
}

bool child_process::succeeded() const
{
    return m_reaped && WIFEXITED(m_status) && WEXITSTATUS(m_status) == EXIT_SUCCESS;
}

void runEngine(engine_memory &memory, std::size_t index)
{
    engine started(memory, index);
    started.run();
}

} // namespace orchidlead::platform_world
