#include "ctl/console.h"

#include <algorithm>
#include <array>

namespace orchidlead::ctl {

namespace {

constexpr std::string_view Reset = "\033[0m";
constexpr std::array GoodStates{std::string_view("alive"), std::string_view("usable"),
                                std::string_view("serving"), std::string_view("answered")};
constexpr std::array WarningStates{
    std::string_view("suspect"),    std::string_view("suspected"), std::string_view("probing"),
    std::string_view("leaving"),    std::string_view("starting"),  std::string_view("stopping"),
    std::string_view("confirming"), std::string_view("not_run"),
};
constexpr std::array BadStates{std::string_view("dead"), std::string_view("ejected"),
                               std::string_view("failed"), std::string_view("unknown"),
                               std::string_view("expired")};

std::string_view colorOf(text_style style)
{
    switch (style) {
    case text_style::Plain:
        return "";
    case text_style::Heading:
        return "\033[1m";
    case text_style::Good:
        return "\033[32m";
    case text_style::Warning:
        return "\033[33m";
    case text_style::Bad:
        return "\033[31m";
    }
    return "";
}

template <class Names>
bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::string console::styled(std::string_view text, text_style style) const
{
    const std::string_view code = colorOf(style);
    if (!color || code.empty())
        return std::string(text);
    return std::string(code) + std::string(text) + std::string(Reset);
}

text_style styleOf(std::string_view state)
{
    if (contains(GoodStates, state))
        return text_style::Good;
    if (contains(WarningStates, state))
        return text_style::Warning;
    return contains(BadStates, state) ? text_style::Bad : text_style::Plain;
}

} // namespace orchidlead::ctl
