#include "ctl/command.h"
#include "daemon/test_fleet.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>
#include <vector>

using namespace orchidlead;
using namespace orchidlead::daemon;
using Catch::Matchers::Contains;

namespace {

struct tool_run
{
    ctl::exit_code code = ctl::exit_code::Success;
    std::string out;
    std::string error;
};

/// Runs orchidctl against the fleet's first node, with the calls made on the fleet's own loop.
tool_run runTool(test_fleet &fleet, std::vector<std::string> arguments)
{
    const bool sends = arguments.front() == "send";
    arguments.push_back(sends ? "--caller=" + toText(fleet.callerAddress())
                              : "--operator=" + toText(fleet.operatorAddress()));
    const auto call =
        [&](const ctl::api_request &request) -> result<ctl::api_answer, ctl::api_error> {
        net::http_call made;
        made.address = request.address;
        made.method = request.method;
        made.path = request.path;
        made.body = request.body;
        const net::answer got = net::callAndWait(fleet.loop(), std::move(made));
        return ctl::api_answer{got.status, got.body};
    };
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream error;
    const ctl::exit_code code = ctl::runCommandLine(arguments, in, out, error, false, call);
    return {code, out.str(), error.str()};
}

/// Finds the cells for which the node gave nothing, by their lines.
std::vector<std::string> linesWithAbsentCells(const std::string &text)
{
    std::vector<std::string> found;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        std::istringstream cells(line);
        for (std::string cell; cells >> cell;) {
            if (cell == "-")
                found.push_back(line.substr(0, line.find(' ')));
        }
    }
    return found;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("orchidctl finds each member that its tables show in the operator API's answers")
{
    test_fleet fleet;
    const tool_run sent =
        runTool(fleet, {"send", "--customer=saare", "--pipeline=ask", "--input=[7]"});
    INFO(sent.out << sent.error);
    REQUIRE(sent.code == ctl::exit_code::Success);
    CHECK_THAT(sent.out, Contains("[7]"));

    const std::vector<std::pair<std::string, names>> absent{
        {"status", {"reason"}}, // none while the node is ready
        {"vms", {}},
        {"servers", {}},
        {"stages", {}},
        {"customers", {}},
        {"config", {"refused"}}, // none was
    };
    for (const auto &[command, expected] : absent) {
        const tool_run ran = runTool(fleet, {command});
        CAPTURE(command, ran.out, ran.error);
        CHECK(ran.code == ctl::exit_code::Success);
        CHECK(linesWithAbsentCells(ran.out) == expected);
    }
}

TEST_CASE("orchidctl follows a request of a real node, and drains the node")
{
    test_fleet fleet;
    const tool_run sent =
        runTool(fleet, {"send", "--json", "--customer=saare", "--pipeline=ask", "--input=1"});
    const auto answer = wire::parseJson(sent.out);
    REQUIRE(answer.has_value());
    const tool_run trace = runTool(fleet, {"trace", answer.value()["request"].asString()});
    CAPTURE(trace.out, trace.error);
    CHECK(trace.code == ctl::exit_code::Success);
    CHECK_THAT(trace.out, Contains("encoder-1") && Contains("route") && Contains("answered"));
    CHECK(runTool(fleet, {"trace", "nobody-1"}).code == ctl::exit_code::Refused);

    const tool_run plans = runTool(fleet, {"pipelines", "saare"});
    CHECK_THAT(plans.out, Contains("saare / chat") && Contains("/v1/completions"));
    const tool_run refused =
        runTool(fleet, {"send", "--customer=nobody", "--pipeline=ask", "--input=1"});
    CHECK(refused.code == ctl::exit_code::NotRun);

    CHECK(runTool(fleet, {"drain"}).code == ctl::exit_code::Success);
    CHECK_THAT(runTool(fleet, {"status"}).out, Contains("stopping"));
}
