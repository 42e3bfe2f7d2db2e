#include "ctl/request_history.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>

namespace orchidlead::ctl {

namespace {

using namespace std::string_view_literals;

// Events of this long before a request came, and after its end, are shown: a pool's summary is
// written once a second.
constexpr std::chrono::seconds ContextBefore{2};
constexpr std::chrono::seconds ContextAfter{1};
// A process is started again within this time of its end; a later start says nothing of a request.
constexpr std::chrono::seconds RestartWithin{60};

// Fields whose values name what a request met.
constexpr std::array NameFields{"server"sv, "service"sv, "host"sv, "digest"sv};
// Fields of other lines that may hold such a name.
constexpr std::array ContextFields{"server"sv, "service"sv, "subject"sv, "digest"sv};
// Of lines about the request's own content it doesn't matter how long before they were written.
constexpr std::string_view ContentField = "digest";
// Events of the nodes that a request met.
constexpr std::array NodeEvents{
    "starting"sv,       "ready"sv,         "not_ready"sv,       "stopping"sv,
    "stopped"sv,        "store_lost"sv,    "store_regained"sv,  "store_history_gone"sv,
    "member_changed"sv, "pause_noticed"sv, "stage_host_lost"sv, "configuration_in_force"sv,
    "lines_left_out"sv};

/// What an outcome means, for the last line.
struct outcome_cause
{
    std::string_view outcome;
    std::string_view cause;
};
constexpr std::array Causes{
    outcome_cause{"answered", "a server answered it"},
    outcome_cause{"failed", "the server ran it and answered with a failure, which was passed on"},
    outcome_cause{"no_configuration", "refused, not run: the node knew no configuration yet"},
    outcome_cause{"no_route", "no route of the configuration in force fits it"},
    outcome_cause{"unknown_key", "its key belongs to no customer of the configuration in force"},
    outcome_cause{"piece_counts", "its counts of pieces don't fit the stages of its route"},
    outcome_cause{"no_time", "refused, not run: the client's patience was over when it came"},
    outcome_cause{"no_server", "no server of its service could be used"},
    outcome_cause{
        "evacuated",
        "refused, not run: operators have evacuated all data centres that could serve it"},
    outcome_cause{"out_of_region",
                  "refused, not run: no server could be reached in the regions it is bound to"},
    outcome_cause{"no_server_of_version",
                  "no server that may get work has the software version that began the stream; "
                  "events of another one don't fit"},
    outcome_cause{"origin_unknown",
                  "refused, not run: the client continues a stream, several software versions "
                  "serve, and no node that answered knows which one began it"},
    outcome_cause{"servers_leaving",
                  "refused, not run: all servers that could run it leave, as published or as they "
                  "say in answers"},
    outcome_cause{"servers_backed_off",
                  "refused, not run: all servers that could run it, or a stage of it, asked to be "
                  "left alone for a while"},
    outcome_cause{"servers_limited",
                  "refused, not run: all servers that could run it are cold or name limits, and "
                  "these left no room in time"},
    outcome_cause{"servers_full", "every server that could be tried refused it"},
    outcome_cause{"server_failed",
                  "a server took it and its answer didn't come or broke off; it may have run"},
    outcome_cause{"ends_servers",
                  "servers ended under it or its repeats, so it was sent to no more of them"},
    outcome_cause{"queue_too_long",
                  "refused on arrival, not run: what waited before it would have made it late"},
    outcome_cause{"not_admitted",
                  "refused on arrival, not run: a stage had no place for its pieces in time"},
    outcome_cause{"stage_late", "its stages couldn't be done in time; the request itself not run"},
    outcome_cause{"stage_failed", "a piece of a stage failed for good; the request itself not run"},
    outcome_cause{"timeout", "no whole answer came within the route's time"},
    outcome_cause{"client_gone", "the client closed its connection before the answer was whole"},
    outcome_cause{"stopping", "the node was stopping before a server could have it"},
};

bool isNodeEvent(std::string_view event)
{
    return std::ranges::find(NodeEvents, event) != NodeEvents.end();
}

bool mayExplain(const wire::log_entry &entry)
{
    if (isNodeEvent(entry.event))
        return true;
    return std::ranges::any_of(ContextFields,
                               [&](auto name) { return !entry.field(name).empty(); });
}

/// Names of the servers, services and nodes that a request met.
struct met_names
{
    std::set<std::string, std::less<>> things;
    std::set<std::string, std::less<>> nodes;
};

met_names namesIn(const std::vector<wire::log_entry> &lines)
{
    met_names names;
    for (const auto &line : lines) {
        for (const auto field : NameFields) {
            if (const auto value = line.field(field); !value.empty())
                names.things.emplace(value);
        }
        names.nodes.emplace(line.field("vm"));
        if (const auto host = line.field("host"); !host.empty())
            names.nodes.emplace(host);
    }
    return names;
}

bool concerns(const wire::log_entry &line, const met_names &names)
{
    if (isNodeEvent(line.event))
        return names.nodes.contains(line.field("vm"));
    return std::ranges::any_of(ContextFields,
                               [&](auto name) { return names.things.contains(line.field(name)); });
}

std::string causeOf(std::string_view outcome)
{
    const auto found = std::ranges::find(Causes, outcome, &outcome_cause::outcome);
    return found == Causes.end() ? "an outcome that this tool doesn't know"
                                 : std::string(found->cause);
}

/// What became of a request that has no line about its end.
std::string causeWithoutEnd(const wire::log_entry &last, const std::vector<wire::log_entry> &others)
{
    const auto startedAgain = std::ranges::find_if(others, [&](const wire::log_entry &each) {
        return each.event == "starting" && each.field("vm") == last.field("vm")
            && each.time > last.time && each.time < last.time + RestartWithin;
    });
    if (startedAgain != others.end())
        return "the process that had it ended without answering it, and was started again";
    return "no line tells its end: it was still open, or the process was gone, when the log ends";
}

/// Returns what was ahead of a refused request at the pools that refused it; empty if unknown.
std::string aheadOf(const std::vector<wire::log_entry> &lines)
{
    std::string text;
    for (const auto &each : lines) {
        if (each.event != "admission_refused")
            continue;
        text += text.empty() ? "; ahead of it: " : ", ";
        text.append(each.field("waiting_ahead")).append(" waiting and ");
        text.append(each.field("reserved_ahead")).append(" reserved pieces of ");
        text.append(each.field("service")).append(" at ").append(each.field("host"));
    }
    return text;
}

} // namespace

history_finder::history_finder(std::string request)
    : m_request(std::move(request))
{ }

void history_finder::add(const std::string &text)
{
    auto entry = wire::parseLogLine(text);
    if (!entry)
        ++m_unreadable;
    else if (entry->field("request") == m_request)
        m_own.push_back(std::move(*entry));
    else if (entry->field("request").empty() && mayExplain(*entry))
        m_others.push_back(std::move(*entry));
}

request_history history_finder::finish()
{
    request_history history;
    history.request = m_request;
    if (m_own.empty())
        return history;
    std::ranges::stable_sort(m_own, {}, &wire::log_entry::time);
    const auto begin = m_own.front().time;
    const auto end = m_own.back().time;
    const auto names = namesIn(m_own);
    const auto ended = std::ranges::find(m_own, "request", &wire::log_entry::event);
    if (ended != m_own.end())
        history.outcome = ended->field("outcome");
    history.cause = history.outcome.empty() ? causeWithoutEnd(m_own.back(), m_others)
                                            : causeOf(history.outcome) + aheadOf(m_own);
    const auto place = [&](wire::log_entry &entry, bool own) {
        const auto at = std::chrono::duration_cast<milliseconds>(entry.time - begin);
        history.lines.push_back({std::move(entry), own, at});
    };
    for (auto &each : m_own)
        place(each, true);
    for (auto &each : m_others) {
        const bool near = each.time >= begin - ContextBefore && each.time <= end + ContextAfter;
        const bool sameContent = names.things.contains(each.field(ContentField));
        if (sameContent || (near && concerns(each, names)))
            place(each, false);
    }
    std::ranges::stable_sort(history.lines, {}, &history_line::at);
    return history;
}

} // namespace orchidlead::ctl
