#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace orchidlead::ctl {

/// How much attention a text asks for.
enum class text_style { Plain, Heading, Good, Warning, Bad };

/// Where a command writes to.
struct console
{
    std::ostream &out;
    std::ostream &error;
    bool color = false; ///< `out` is a terminal that shows colours

    /// Wraps a text in the style's colour, where there are colours.
    [[nodiscard]] std::string styled(std::string_view text, text_style style) const;
};

/// Tells how a state or outcome that a node names should look.
[[nodiscard]] text_style styleOf(std::string_view state);

} // namespace orchidlead::ctl
