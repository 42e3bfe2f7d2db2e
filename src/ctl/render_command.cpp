#include "ctl/render_command.h"

#include "core/configuration/published_configuration.h"
#include "core/settings/yaml_document.h"
#include "ctl/document_file.h"
#include "ctl/plan_view.h"
#include "ctl/table.h"
#include "wire/json_text.h"
#include "wire/plan_json.h"

namespace orchidlead::ctl {

namespace {

exit_code fail(const command_context &context, const std::string &message)
{
    context.to.error << "orchidctl: " << printable(message) << '\n';
    return exit_code::Invalid;
}

std::string describe(const render_error &error)
{
    return std::string(toName(error.failure)) + ": \"" + error.value + "\": expected "
        + error.expected;
}

} // namespace

exit_code runRender(const command_context &context)
{
    const flag_values &flags = context.line.flags;
    const auto text = readFile(flags.file, context.in, yaml_limits{}.maxBytes);
    if (!text)
        return fail(context, flags.file + ": can't be read: " + text.error().reason);
    const auto read = parsePublishedConfiguration(text.value(), flags.file, 0);
    if (!read) {
        for (const auto &error : read.error())
            context.to.error << printable(error.message()) << '\n';
        return exit_code::Invalid;
    }
    const auto plan =
        renderPipeline(*read.value(), customer_id(flags.customer), pipeline_id(flags.pipeline));
    if (!plan)
        return fail(context, describe(plan.error()));
    const Json::Value value = wire::planToJson(*plan.value());
    if (flags.json)
        context.to.out << wire::writeJson(value) << '\n';
    else
        printPlan(value, context.to);
    return exit_code::Success;
}

} // namespace orchidlead::ctl
