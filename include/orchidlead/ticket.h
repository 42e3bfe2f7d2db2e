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

/// A one-time token that a node issues to a caller: a call that carries it runs at most once, and
/// only on the process that issued (minted) the token.
///
/// Text form: `t.<vm>.<incarnation in hex>.<sequence>`.
struct ticket
{
    vm_id vm;
    orchidlead::incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const ticket &, const ticket &) = default;
};

/// Reason why a text is not a valid ticket.
enum class ticket_error { TooLong, BadPrefix, BadVm, BadIncarnation, BadSequence };

template <>
inline constexpr std::array enumNames<ticket_error>{
    enum_name<ticket_error>{ticket_error::TooLong, "too_long"},
    enum_name<ticket_error>{ticket_error::BadPrefix, "bad_prefix"},
    enum_name<ticket_error>{ticket_error::BadVm, "bad_vm"},
    enum_name<ticket_error>{ticket_error::BadIncarnation, "bad_incarnation"},
    enum_name<ticket_error>{ticket_error::BadSequence, "bad_sequence"},
};

/// Longest accepted text of a ticket, in bytes.
inline constexpr std::size_t MaxTicketLength = 128;

[[nodiscard]] std::string toText(const ticket &value);

/// Parses the text form. The name of a VM may hold letters, digits, `-`, `_`, `:` and `.`.
[[nodiscard]] result<ticket, ticket_error> parseTicket(std::string_view text);

} // namespace orchidlead
