#include "gateway/quarantine/request_subjects.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace orchidlead::gateway {

std::vector<crash_subject> subjectsOf(const request_identity &identity,
                                      const std::vector<prompt_part> &prompt)
{
    constexpr std::string_view Part = "prompt part";
    constexpr std::size_t MaxBreadth = std::numeric_limits<std::uint8_t>::max();
    std::vector<crash_subject> subjects{{requestDigestOf(identity), {}}};
    const auto sharedParts = prompt.empty() ? 0 : prompt.size() - 1;
    for (auto i = sharedParts; i > 0 && subjects.size() <= MaxPartSubjects; --i) {
        const auto &id = prompt[i - 1].id;
        const auto breadth = std::min(prompt.size() - i, MaxBreadth);
        subjects.push_back({digestOfTexts({Part, identity.customer.value, id}),
                            {},
                            static_cast<std::uint8_t>(breadth),
                            digestOfTexts({Part, id})});
    }
    return subjects;
}

} // namespace orchidlead::gateway
