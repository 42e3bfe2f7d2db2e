#include "ctl/plan_view.h"

#include "ctl/json_table.h"

#include <array>

namespace orchidlead::ctl {

namespace {

constexpr std::array StageColumns{
    column_spec{"STAGE", "stage", cell_format::Text},
    column_spec{"AFTER", "inputs", cell_format::List},
    column_spec{"SERVICE", "service", cell_format::Text},
    column_spec{"KIND", "kind", cell_format::Text},
    column_spec{"PATH", "path", cell_format::Text},
    column_spec{"REPEATABLE", "repeatable", cell_format::Boolean},
    column_spec{"TIMEOUT", "timeout_ms", cell_format::OptionalDuration},
    column_spec{"MODEL", "model", cell_format::Text},
    column_spec{"MAX TOKENS", "max_tokens", cell_format::OptionalNumber},
};

constexpr std::array PlanFields{
    column_spec{"deadline", "deadline_ms", cell_format::Duration},
    column_spec{"priority", "priority", cell_format::Text},
    column_spec{"repeatable", "repeatable", cell_format::Boolean},
    column_spec{"configuration", "configuration_version", cell_format::OptionalNumber},
};

} // namespace

void printPlan(const Json::Value &plan, const console &to)
{
    const std::string title = cellText(plan, {"", "customer", cell_format::Text}) + " / "
        + cellText(plan, {"", "pipeline", cell_format::Text});
    to.out << to.styled(printable(title), text_style::Heading) << '\n';
    printFields(plan, PlanFields, to);
    printRows(plan["stages"], StageColumns, to);
}

} // namespace orchidlead::ctl
