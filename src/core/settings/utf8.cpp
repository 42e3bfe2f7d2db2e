#include "core/settings/utf8.h"

namespace orchidlead {

std::size_t utf8Length(std::string_view text)
{
    const auto byteAt = [&](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    const auto isContinuation = [&](std::size_t at) {
        return at < text.size() && (byteAt(at) & 0xc0U) == 0x80U;
    };
    const unsigned char lead = byteAt(0);
    if (lead < 0x80)
        return 1;
    if (lead >= 0xc2 && lead <= 0xdf)
        return isContinuation(1) ? 2 : 0;
    if (lead >= 0xe0 && lead <= 0xef) {
        if (!isContinuation(1) || !isContinuation(2))
            return 0;
        const bool overlong = lead == 0xe0 && byteAt(1) < 0xa0;
        const bool surrogate = lead == 0xed && byteAt(1) > 0x9f;
        return overlong || surrogate ? 0 : 3;
    }
    if (lead >= 0xf0 && lead <= 0xf4) {
        if (!isContinuation(1) || !isContinuation(2) || !isContinuation(3))
            return 0;
        const bool overlong = lead == 0xf0 && byteAt(1) < 0x90;
        const bool outOfRange = lead == 0xf4 && byteAt(1) > 0x8f;
        return overlong || outOfRange ? 0 : 4;
    }
    return 0;
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = utf8Length(text);
        if (length == 0)
            return false;
        text.remove_prefix(length);
    }
    return true;
}

} // namespace orchidlead
