#include "ctl/command.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace orchidlead::ctl {
namespace {

using Catch::Matchers::Contains;
using arguments = std::vector<std::string>;

/// Answers calls from a table, and keeps them.
struct fake_node
{
    std::map<std::string, api_answer> answers; ///< by method and path
    std::vector<std::string> streamed; ///< parts of a streamed answer
    std::vector<api_request> calls;

    result<api_answer, api_error> call(const api_request &request)
    {
        calls.push_back(request);
        for (const auto &part : streamed)
            request.onStream(part);
        const auto found = answers.find(request.method + " " + request.path);
        if (found == answers.end())
            return api_error{"can't connect; nothing was sent"};
        return found->second;
    }
};

/// What one run of the tool gave.
struct tool_run
{
    exit_code code = exit_code::Success;
    std::string out;
    std::string error;
};

tool_run runTool(const arguments &given, fake_node &node, const std::string &input = "",
                 bool terminal = false)
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream error;
    const exit_code code =
        runCommandLine(given, in, out, error, terminal,
                       [&](const api_request &request) { return node.call(request); });
    return {code, out.str(), error.str()};
}

tool_run runTool(const arguments &given, const std::string &input = "")
{
    fake_node node;
    return runTool(given, node, input);
}

std::string example(const std::string &name)
{
    return std::string(std::getenv("ORCHIDLEAD_SOURCE")) + "/examples/" + name;
}

const std::string Send = "POST /v1/requests";

arguments sendArguments(const arguments &more = {})
{
    arguments all{"send", "--customer", "a", "--pipeline=b", "--input", "{\"n\": 1.0}"};
    all.insert(all.end(), more.begin(), more.end());
    return all;
}

} // namespace

TEST_CASE("a wrong command line gives status 2 and says what is wrong")
{
    const std::vector<std::pair<arguments, std::string>> cases{
        {{}, "a command is missing"},
        {{"stat"}, "unknown command stat"},
        {{"help", "stat"}, "unknown command stat"},
        {{"status", "--operater", "127.0.0.1:1"}, "unknown flag --operater"},
        {{"status", "-s"}, "unknown flag -s"},
        {{"status", "--operator"}, "--operator needs a value"},
        {{"status", "--operator", "localhost:1"},
         "--operator=localhost:1: expected operator address"},
        {{"status", "--timeout", "5"}, "--timeout=5: expected longest wait"},
        {{"status", "--timeout", "-5s"}, "expected 0 to 1h"},
        {{"status", "--color", "blue"}, "--color=blue: expected auto"},
        {{"status", "--nooperator"}, "unknown flag --nooperator"},
        {{"status", "--customer", "a"}, "`status` takes no --customer"},
        {{"status", "more"}, "`status` takes no arguments"},
        {{"check"}, "`check` takes FILE"},
        {{"render", "--file", "x"}, "--customer and --pipeline are needed"},
        {{"vms", "--limit", "-1"}, "--limit=-1: expected at most"},
        {sendArguments({"--ticket", "t", "--idempotency_key", "k"}), "exclude each other"},
    };
    for (const auto &[given, message] : cases) {
        const tool_run ran = runTool(given);
        CAPTURE(given, ran.out);
        CHECK(ran.code == exit_code::Usage);
        CHECK_THAT(ran.error, Contains(message));
    }
}

TEST_CASE("help names every command, and a command's help its flags and an example")
{
    const tool_run overview = runTool({"help"});
    CHECK(overview.code == exit_code::Success);
    for (const auto &each : commands()) {
        CAPTURE(each.name);
        CHECK_THAT(overview.out, Contains(std::string(each.name)));
        const tool_run help = runTool({std::string(each.name), "--help"});
        CHECK(help.code == exit_code::Success);
        CHECK_THAT(help.out, Contains(std::string(each.example)));
        for (const auto flag : each.flags)
            CHECK_FALSE(flagHelp(flag).empty());
    }
}

TEST_CASE("check tells valid files from wrong ones, whichever kind they are")
{
    const tool_run valid =
        runTool({"check", example("settings.yaml"), example("ruta-lactea.yaml")});
    CHECK(valid.code == exit_code::Success);
    CHECK_THAT(valid.out, Contains("settings of vm-1") && Contains("5 customers"));

    const tool_run wrong =
        runTool({"check", "-", example("settings.yaml")}, "vm: a\nvm: b\nlisten: 5\n");
    CHECK(wrong.code == exit_code::Invalid);
    CHECK_THAT(wrong.out, Contains("-:2:1: vm: \"vm\": expected each key once"));
    CHECK_THAT(wrong.out, Contains("-:3:9: listen: \"5\": expected a mapping"));
    CHECK_THAT(wrong.out, Contains("settings.yaml: valid"));
}

TEST_CASE("check refuses what it can't read or tell the kind of")
{
    CHECK(runTool({"check", "/nowhere/at/all"}).code == exit_code::Invalid);
    CHECK(runTool({"check", "/"}).code == exit_code::Invalid);
    const tool_run unknown = runTool({"check", "-"}, "a: 1\n");
    CHECK(unknown.code == exit_code::Invalid);
    CHECK_THAT(unknown.out, Contains("say which with --kind"));
    const tool_run large = runTool({"check", "-"}, std::string(3U << 20U, 'x'));
    CHECK(large.code == exit_code::Invalid);
    CHECK_THAT(large.out, Contains("at most 1048576 bytes"));
}

TEST_CASE("check writes each error for machines as well")
{
    const tool_run ran = runTool({"check", "--json", "--kind=settings", "-"}, "vm: ''\n");
    CHECK(ran.code == exit_code::Invalid);
    CHECK_THAT(ran.out, Contains(R"("valid":false)") && Contains(R"("column":5)"));
}

TEST_CASE("render shows a customer's stages, and refuses what the file doesn't have")
{
    const arguments common{"render", "--file", example("vilistlasvork.yaml"), "--customer"};
    const auto with = [&](const std::string &customer, const std::string &pipeline) {
        arguments all = common;
        all.insert(all.end(), {customer, "--pipeline", pipeline});
        return runTool(all);
    };
    const tool_run minutes = with("narva-alumni", "minutes");
    CHECK(minutes.code == exit_code::Success);
    CHECK_THAT(minutes.out, Contains("retrieve") && !Contains("rerank"));
    CHECK(with("narva-alumni", "yearbook").code == exit_code::Invalid);
    CHECK_THAT(with("nobody", "minutes").error, Contains("unknown_customer"));
}

TEST_CASE("a node's lists are read page by page, and no further than wanted")
{
    fake_node node;
    node.answers["GET /v1/vms?limit=1000"] = {
        200,
        R"({"vms": [{"vm": "vm-1", "state": "alive", "last_heard_ms": 1500}], "next": "vm 1"})"};
    node.answers["GET /v1/vms?limit=1000&after=vm%201"] = {
        200, R"({"vms": [{"vm": "vm-2", "state": "dead", "last_heard_ms": null}], "next": null})"};
    node.answers["GET /v1/vms?limit=1"] = node.answers["GET /v1/vms?limit=1000"];
    const tool_run all = runTool({"vms"}, node);
    CHECK(all.code == exit_code::Success);
    CHECK_THAT(all.out, Contains("1.5s") && Contains("vm-2"));
    const tool_run one = runTool({"vms", "--limit=1", "--json"}, node);
    CHECK_THAT(one.out, Contains("vm-1") && !Contains("vm-2"));
}

TEST_CASE("the configuration in force is shown, and its document is given byte for byte")
{
    fake_node node;
    node.answers["GET /v1/configuration"] = {
        200, R"({"version": 12, "hash": "9f", "confirmed": true, "refused": [13, 14]})"};
    node.answers["GET /v1/configuration?content=1"] = {
        200, R"({"version": 12, "content": "format: 1\n...\n"})"};
    CHECK_THAT(runTool({"config"}, node).out, Contains("13,14") && Contains("confirmed"));
    CHECK(runTool({"config", "--content"}, node).out == "format: 1\n...\n");
}

TEST_CASE("a node that doesn't answer, refuses or talks nonsense has a status of its own")
{
    fake_node node;
    CHECK(runTool({"status"}, node).code == exit_code::Unreachable);
    node.answers["GET /v1/status"] = {200, "<html>"};
    CHECK(runTool({"status"}, node).code == exit_code::Unreachable);
    node.answers["GET /v1/requests/x%2Fy"] = {404, R"({"error": "not here"})"};
    const tool_run refused = runTool({"trace", "x/y"}, node);
    CHECK(refused.code == exit_code::Refused);
    CHECK_THAT(refused.error, Contains("404: not here"));
}

TEST_CASE("colours are written to a terminal only, and names can't steer it")
{
    fake_node node;
    node.answers["GET /v1/status"] = {200, R"({"vm": "a\u001b[2Jb", "state": "serving"})"};
    const tool_run plain = runTool({"status"}, node);
    CHECK_THAT(plain.out, !Contains("\033") && Contains("a?[2Jb"));
    const tool_run colored = runTool({"status"}, node, "", true);
    CHECK_THAT(colored.out, Contains("\033[32mserving\033[0m"));
    CHECK_THAT(runTool({"status", "--color=never"}, node, "", true).out, !Contains("\033"));
}

TEST_CASE("send gives the request as it was written, and the outcome as its status")
{
    const std::vector<std::pair<std::string, exit_code>> cases{
        {"answered", exit_code::Success}, {"not_run", exit_code::NotRun},
        {"failed", exit_code::Failed},    {"unknown", exit_code::Unknown},
        {"expired", exit_code::Expired},  {"other", exit_code::Unreachable},
    };
    for (const auto &[outcome, code] : cases) {
        fake_node node;
        node.answers[Send] = {200, R"({"outcome": ")" + outcome + R"(", "output": {"x": 1.10}})"};
        const tool_run ran = runTool(sendArguments({"--deadline=1.5s", "--once"}), node);
        CAPTURE(outcome, ran.out, ran.error);
        CHECK(ran.code == code);
        CHECK(
            (code == exit_code::Unreachable || ran.out.find("{\"x\": 1.10}") != std::string::npos));
        REQUIRE(node.calls.size() == 1);
        CHECK(node.calls[0].body
              == R"({"customer": "a", "pipeline": "b", "input": {"n": 1.0}, )"
                 R"("deadline_ms": 1500, "repeatable": false})");
    }
}

TEST_CASE("a streamed answer that was cut off isn't taken for a whole one")
{
    const std::string token = "event: token\ndata: {\"text\": \" Hello\"}\n\n";
    const std::string end = "event: outcome\ndata: {\"outcome\": \"answered\", \"output\": 1}\n\n";
    fake_node whole;
    whole.streamed = {token + end};
    whole.answers[Send] = {200, ""};
    const tool_run answered = runTool(sendArguments({"--stream"}), whole);
    CHECK(answered.code == exit_code::Success);
    CHECK_THAT(answered.out, Contains(" Hello\nanswered"));

    fake_node cut;
    cut.streamed = {token, end.substr(0, end.size() - 1)};
    cut.answers[Send] = {200, ""};
    const tool_run broken = runTool(sendArguments({"--stream"}), cut);
    CHECK(broken.code == exit_code::Unreachable);
    CHECK_THAT(broken.error, Contains("whether the request ran isn't known"));
}

} // namespace orchidlead::ctl
