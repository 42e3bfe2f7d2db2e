#include "ctl/check_command.h"

#include "core/configuration/published_configuration.h"
#include "core/settings/settings.h"
#include "core/settings/yaml_document.h"
#include "ctl/document_file.h"
#include "ctl/table.h"
#include "wire/json_text.h"

#include <json/value.h>

namespace orchidlead::ctl {

namespace {

/// What the check of one file found.
struct checked_file
{
    std::string name;
    document_kind kind = document_kind::Auto;
    std::string summary; ///< of a valid one
    std::vector<configuration_error> errors;
};

std::string summarize(const published_configuration &configuration)
{
    std::size_t servers = 0;
    for (const auto &each : configuration.services)
        servers += each.servers.size();
    return std::to_string(configuration.services.size()) + " services, " + std::to_string(servers)
        + " backend servers, " + std::to_string(configuration.templates.size()) + " templates, "
        + std::to_string(configuration.customers.size()) + " customers";
}

void checkPublished(const std::string &text, checked_file &file)
{
    auto read = parsePublishedConfiguration(text, file.name, 0);
    if (read)
        file.summary = "published configuration: " + summarize(*read.value());
    else
        file.errors = std::move(read).error();
}

void checkSettings(const std::string &text, checked_file &file)
{
    auto read = parseSettings(text, file.name);
    if (read)
        file.summary = "settings of " + read.value().vm.value;
    else
        file.errors = std::move(read).error();
}

configuration_error unknownKind(const std::string &name, const std::string &text)
{
    // A text that can't be read at all has a better error than that its kind is unknown.
    const auto root = parseYaml(text, name, end_marker::Optional);
    if (!root)
        return root.error();
    return configuration_error{
        name, 0, 0, "", "", "settings or a published configuration; say which with --kind"};
}

checked_file checkFile(const std::string &name, const command_context &context)
{
    checked_file file{name, context.line.flags.kind, "", {}};
    const auto text = readFile(name, context.in, yaml_limits{}.maxBytes);
    if (!text) {
        file.errors.push_back({name, 0, 0, "", "", "a readable file: " + text.error().reason});
        return file;
    }
    if (file.kind == document_kind::Auto)
        file.kind = detectKind(text.value());
    if (file.kind == document_kind::Settings)
        checkSettings(text.value(), file);
    else if (file.kind == document_kind::Published)
        checkPublished(text.value(), file);
    else
        file.errors.push_back(unknownKind(name, text.value()));
    return file;
}

Json::Value toJson(const checked_file &file)
{
    Json::Value value{Json::objectValue};
    value["file"] = file.name;
    value["kind"] = std::string(toName(file.kind));
    value["valid"] = file.errors.empty();
    value["errors"] = Json::Value{Json::arrayValue};
    for (const auto &error : file.errors) {
        Json::Value entry{Json::objectValue};
        entry["line"] = error.line;
        entry["column"] = error.column;
        entry["key"] = error.key;
        entry["value"] = error.value;
        entry["expected"] = error.expected;
        value["errors"].append(std::move(entry));
    }
    return value;
}

void print(const checked_file &file, const console &to)
{
    for (const auto &error : file.errors)
        to.out << to.styled(printable(error.message()), text_style::Bad) << '\n';
    if (file.errors.empty())
        to.out << file.name << ": " << to.styled("valid", text_style::Good) << " (" << file.summary
               << ")\n";
}

} // namespace

exit_code runCheck(const command_context &context)
{
    bool valid = true;
    Json::Value all{Json::objectValue};
    all["files"] = Json::Value{Json::arrayValue};
    for (const auto &name : context.line.arguments) {
        const checked_file file = checkFile(name, context);
        valid = valid && file.errors.empty();
        if (context.line.flags.json)
            all["files"].append(toJson(file));
        else
            print(file, context.to);
    }
    if (context.line.flags.json)
        context.to.out << wire::writeJson(all) << '\n';
    return valid ? exit_code::Success : exit_code::Invalid;
}

} // namespace orchidlead::ctl
