#pragma once

#include "wire/published_reader.h"
#include "wire/published_watch.h"

#include <orchidlead/membership.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace orchidlead::wire {

/// One version of the platform's list of VMs.
struct vm_list
{
    std::uint64_t version = 0;
    std::vector<listed_vm> vms;
};

/// Most VMs that a list may hold.
inline constexpr std::size_t MaxListedVms = 4096;

/// The list of VMs as a document. A list with any malformed or doubled entry is refused whole: a
/// list that is short by one would shift which nodes count as a majority.
struct vm_list_document
{
    using value = vm_list;
    static constexpr std::string_view Path = "/v1/vms";
    static constexpr std::size_t MaxAnswerBytes = 2U << 20U;

    [[nodiscard]] static result<value, read_error> parse(std::string_view body);
    [[nodiscard]] static std::uint64_t version(const value &read) { return read.version; }
};

/// Reads the list of VMs, and watches it.
using vm_list_client = published_reader<vm_list_document>;
using vm_list_watch = published_watch<vm_list_document>;

extern template class published_reader<vm_list_document>;
extern template class published_watch<vm_list_document>;

} // namespace orchidlead::wire
