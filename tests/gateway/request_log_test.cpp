#include "gateway/exchange/request_log.h"
#include "text_count.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("request_log: the lines of a request are written in order, once, and limited in number")
{
    manual_clock clock;
    std::ostringstream out;
    {
        wire::log log({vm_id{"a"}}, out, clock);
        request_log decisions;
        for (int i = 0; i < 100; ++i)
            decisions.add(log.line(wire::log_level::Info, "attempt_sent").add("number", i));
        CHECK(decisions.size() == 40);
        decisions.write(log);
        decisions.write(log);
    }
    CHECK(countIn(out.str(), "event=attempt_sent") == 40);
    CHECK(out.str().find("number=0") < out.str().find("number=1"));
}

TEST_CASE("log_rate_limiter: limits the lines of successful requests per second and counts the "
          "refused ones")
{
    manual_clock clock;
    clock.advance(std::chrono::seconds{5});
    log_rate_limiter lines(clock, 10);
    CHECK(lines.tryAcquire(6));
    CHECK_FALSE(lines.tryAcquire(6));
    CHECK(lines.tryAcquire(4));
    CHECK_FALSE(lines.tryAcquire(1));
    CHECK(lines.takeDroppedCount() == 7);
    CHECK(lines.takeDroppedCount() == 0);
    clock.advance(std::chrono::seconds{1});
    CHECK(lines.tryAcquire(10));
}
