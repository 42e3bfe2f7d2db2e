#include "ctl/explain_command.h"

#include "ctl/request_history.h"
#include "ctl/table.h"
#include "wire/json_text.h"

#include <json/value.h>

#include <fstream>

namespace orchidlead::ctl {

namespace {

// Fields that have a column of their own.
bool hasColumn(std::string_view name)
{
    return name == "level" || name == "event" || name == "vm" || name == "request";
}

void addLines(std::istream &in, history_finder &finder)
{
    std::string line;
    while (std::getline(in, line))
        finder.add(line);
}

/// Reads all files; false where one can't be opened.
bool readFiles(const command_context &context, history_finder &finder)
{
    const auto &arguments = context.line.arguments;
    if (arguments.size() == 1)
        addLines(context.in, finder);
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        if (arguments[i] == "-") {
            addLines(context.in, finder);
            continue;
        }
        std::ifstream file(arguments[i]);
        if (!file) {
            context.to.error << "orchidctl: can't read " << printable(arguments[i]) << '\n';
            return false;
        }
        addLines(file, finder);
    }
    return true;
}

std::string fieldsOf(const wire::log_entry &entry)
{
    std::string shown;
    for (const auto &[name, value] : entry.fields) {
        if (hasColumn(name))
            continue;
        shown += shown.empty() ? "" : " ";
        shown.append(name).append("=").append(value);
    }
    return printable(shown);
}

void print(const request_history &history, const console &to)
{
    table shown;
    shown.addColumn("MS", alignment::Right);
    shown.addColumn("NODE");
    shown.addColumn("EVENT");
    shown.addColumn("WHAT WAS KNOWN");
    for (const auto &line : history.lines) {
        const auto &entry = line.entry;
        const auto indent = line.aboutRequest ? "" : "  ";
        shown.addRow({std::to_string(line.at.count()), printable(entry.field("vm")),
                      indent + printable(entry.event), fieldsOf(entry)});
    }
    shown.print(to);
    const auto outcome = history.outcome.empty() ? "no end" : printable(history.outcome);
    const auto style = history.outcome == "answered" ? text_style::Good : text_style::Bad;
    to.out << '\n' << to.styled(outcome, style) << ": " << history.cause << '\n';
}

Json::Value toJson(const request_history &history, std::size_t unreadable)
{
    Json::Value value{Json::objectValue};
    value["request"] = history.request;
    value["outcome"] = history.outcome.empty() ? Json::Value{} : Json::Value{history.outcome};
    value["cause"] = history.cause;
    value["unreadable_lines"] = Json::UInt64{unreadable};
    value["lines"] = Json::Value{Json::arrayValue};
    for (const auto &line : history.lines) {
        Json::Value shown{Json::objectValue};
        shown["at_ms"] = Json::Int64{line.at.count()};
        shown["about_request"] = line.aboutRequest;
        for (const auto &[name, field] : line.entry.fields)
            shown["fields"][name] = field;
        value["lines"].append(std::move(shown));
    }
    return value;
}

} // namespace

exit_code runExplain(const command_context &context)
{
    const auto &request = context.line.arguments.front();
    history_finder finder(request);
    if (!readFiles(context, finder))
        return exit_code::Invalid;
    const auto history = finder.finish();
    if (history.lines.empty()) {
        context.to.error << "orchidctl: no line names request " << printable(request)
                         << ": it reached none of these nodes, or the id is another\n";
        return exit_code::Invalid;
    }
    if (context.line.flags.json)
        context.to.out << wire::writeJson(toJson(history, finder.unreadable())) << '\n';
    else
        print(history, context.to);
    return exit_code::Success;
}

} // namespace orchidlead::ctl
