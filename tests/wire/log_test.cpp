#include "wire/json_text.h"
#include "wire/log.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace orchidlead::wire {
namespace {

/// Values that would break a line, forge a field or end a string.
const std::vector<std::string> Hostile{
    "a\nlevel=error event=forged",
    "a b=c",
    "\"quoted\" \\ back",
    std::string("zero\0byte", 9),
    "\r\x1b[31m",
    "next\xc2\x85line",
    "line\xe2\x80\xa8separator",
    "turned\xe2\x80\xae"
    "around",
    "bad \xff utf-8",
    "",
    "saare-1",
    "Põlva küla",
};

std::string lineWith(log_format format, const std::string &value)
{
    log_line line(format, wall_time{std::chrono::milliseconds{1'764'685'712'123}}, log_level::Info,
                  "route");
    line.add("customer", value).add("stage", 2).add("ok", true);
    return line.finish();
}

TEST_CASE("A line stays one line and its values come back, whatever they hold")
{
    for (const auto &value : Hostile) {
        const std::string text = lineWith(log_format::Json, value);
        CAPTURE(text);
        for (const char byte : text)
            REQUIRE(static_cast<unsigned char>(byte) >= ' ');
        CHECK(text.find("\xc2\x85") == std::string::npos);
        CHECK(text.find("\xe2\x80") == std::string::npos);
        const auto parsed = parseJson(text);
        REQUIRE(parsed.has_value());
        CHECK(parsed.value().size() == 6);
        CHECK(parsed.value()["time"].asString() == "2025-12-02T14:28:32.123Z");
        if (isUtf8(value))
            CHECK(parsed.value()["customer"].asString() == value);
    }
}

TEST_CASE("A value in key-value form is plain or a quoted string")
{
    CHECK(
        lineWith(log_format::KeyValue, "saare-1")
        == "time=2025-12-02T14:28:32.123Z level=info event=route customer=saare-1 stage=2 ok=true");
    for (const auto &value : Hostile) {
        const std::string text = lineWith(log_format::KeyValue, value);
        CAPTURE(text);
        const auto begin = text.find(" customer=") + std::string{" customer="}.size();
        const auto shown = text.substr(begin, text.rfind(" stage=2") - begin);
        const bool plain = shown.find_first_of(" \"\\=") == std::string::npos && !shown.empty();
        const bool quoted = parseJson("[" + shown + "]").has_value();
        CHECK((plain || quoted));
    }
}

TEST_CASE("Long values and lists are cut")
{
    const std::string text = lineWith(log_format::Json, std::string(100'000, 'x'));
    CHECK(text.size() < MaxLogValueBytes + 200);
    log_line line(log_format::Json, wall_time{}, log_level::Info, "route");
    line.addList("candidates", std::vector<int>(1000, 7),
                 [](int) { return std::string_view{"s"}; });
    CHECK(parseJson(line.finish()).value()["candidates"].size() == MaxLogListItems);
}

TEST_CASE("A decision is one line with all that decided it")
{
    std::ostringstream out;
    const manual_clock clock;
    {
        log lines({vm_id{"vm-1"}}, out, clock);
        log_decision decision;
        decision.key = {request_id{"vm-1-5f-17"}, 1, 2};
        decision.customer = customer_id{"saare"};
        decision.stage = stage_id{"rerank"};
        decision.candidates = {backend_server_id{"r-1"}, backend_server_id{"r-2"}};
        decision.chosen = backend_server_id{"r-2"};
        decision.reason = "least outstanding";
        decision.remaining = milliseconds{950};
        lines.write(decision);
        lines.write(log_level::Debug, node_event::Ready, "below the level");
    }
    CHECK(out.str().substr(out.str().find(" level"))
          == " level=info event=route vm=vm-1 request=vm-1-5f-17 customer=saare stage=rerank "
             "stage_index=1 attempt=2 candidates=r-1,r-2 chosen=r-2 "
             "reason=\"least outstanding\" remaining_ms=950\n");
}

/// Blocks its writer until it is released.
class stuck_buffer final : public std::stringbuf
{
public:
    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_released = true;
        m_changed.notify_all();
    }

protected:
    std::streamsize xsputn(const char *text, std::streamsize length) override
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_released; });
        return std::stringbuf::xsputn(text, length);
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_released = false;
};

TEST_CASE("A writer that is stuck blocks nobody; what doesn't fit is dropped and counted")
{
    constexpr std::uint32_t Queue = 1000;
    constexpr std::size_t Lines = 2 * Queue;
    stuck_buffer buffer;
    std::ostream out(&buffer);
    const manual_clock clock;
    std::uint64_t dropped = 0;
    {
        log_options options{vm_id{"vm-1"}};
        options.queue = Queue;
        log lines(options, out, clock);
        for (std::size_t line = 0; line < Lines; ++line)
            lines.write(log_level::Info, node_event::Ready, "x");
        dropped = lines.dropped();
        buffer.release();
    }
    const std::string text = buffer.str();
    const auto written = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    CAPTURE(dropped, written);
    CHECK(dropped == Lines - Queue);
    CHECK(written + dropped == Lines);
}

} // namespace
} // namespace orchidlead::wire
