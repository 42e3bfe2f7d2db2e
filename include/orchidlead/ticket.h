#pragma once

#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace orchidlead {

/// Permission to run one call once, on the node that minted it.
///
/// Text form: `t.<vm>.<incarnation in hex>.<sequence>`.
struct ticket
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ticket &, const ticket &) = default;
};

/// Why a text is no ticket.
enum class ticket_error { TooLong, BadPrefix, BadVm, BadIncarnation, BadSequence };

template <>
inline constexpr std::array enumNames<ticket_error>{
    enum_name<ticket_error>{ticket_error::TooLong, "too_long"},
    enum_name<ticket_error>{ticket_error::BadPrefix, "bad_prefix"},
    enum_name<ticket_error>{ticket_error::BadVm, "bad_vm"},
    enum_name<ticket_error>{ticket_error::BadIncarnation, "bad_incarnation"},
    enum_name<ticket_error>{ticket_error::BadSequence, "bad_sequence"},
};

/// Longest text of a ticket that is accepted, in bytes.
inline constexpr std::size_t MaxTicketLength = 128;

/// Gives the text form.
[[nodiscard]] std::string toText(const ticket &value);

/// Reads the text form. The name of a VM may hold letters, digits, `-`, `_`, `:` and `.`.
[[nodiscard]] result<ticket, ticket_error> parseTicket(std::string_view text);

} // namespace orchidlead
