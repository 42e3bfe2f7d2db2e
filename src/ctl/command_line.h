#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::ctl {

/// When to write in colours.
enum class color_mode { Auto, Always, Never };

/// What a file that is checked holds.
enum class document_kind { Auto, Settings, Published };

/// Values of all flags; docs/ORCHIDCTL.md has the table.
struct flag_values
{
    socket_address operators; ///< operator address
    socket_address caller; ///< caller address
    milliseconds timeout{0};
    bool json = false;
    color_mode color = color_mode::Auto;
    document_kind kind = document_kind::Auto;
    std::string file;
    std::string customer;
    std::string pipeline;
    std::string input;
    std::string ticket;
    std::string idempotencyKey;
    milliseconds deadline{0}; ///< 0: the pipeline's own
    bool stream = false;
    bool once = false;
    bool content = false;
    std::uint32_t limit = 0; ///< rows of a list; 0: all
};

/// A command line taken apart.
struct command_line
{
    std::string command; ///< empty: none was given
    std::vector<std::string> arguments;
    std::vector<std::string> flagsGiven; ///< names, without dashes
    bool help = false;
    flag_values flags;
};

struct usage_error
{
    std::string message;
};

/// Reads the arguments after the program's name.
[[nodiscard]] result<command_line, usage_error>
parseCommandLine(const std::vector<std::string> &arguments);

/// Gives the help text of a flag; empty where there is no such flag.
[[nodiscard]] std::string flagHelp(std::string_view name);

} // namespace orchidlead::ctl

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::ctl::color_mode>{
    orchidlead::enum_name<orchidlead::ctl::color_mode>{orchidlead::ctl::color_mode::Auto, "auto"},
    orchidlead::enum_name<orchidlead::ctl::color_mode>{orchidlead::ctl::color_mode::Always,
                                                       "always"},
    orchidlead::enum_name<orchidlead::ctl::color_mode>{orchidlead::ctl::color_mode::Never, "never"},
};

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::ctl::document_kind>{
    orchidlead::enum_name<orchidlead::ctl::document_kind>{orchidlead::ctl::document_kind::Auto,
                                                          "auto"},
    orchidlead::enum_name<orchidlead::ctl::document_kind>{orchidlead::ctl::document_kind::Settings,
                                                          "settings"},
    orchidlead::enum_name<orchidlead::ctl::document_kind>{orchidlead::ctl::document_kind::Published,
                                                          "published"},
};
