#include "core/settings/configuration_error.h"

namespace orchidlead {

std::string configuration_error::message() const
{
    std::string text = file;
    if (line > 0)
        text += ':' + std::to_string(line) + ':' + std::to_string(column);
    text += ": ";
    if (!key.empty())
        text += key + ": ";
    if (!value.empty())
        text += '"' + value + "\": ";
    return text + "expected " + expected;
}

} // namespace orchidlead
