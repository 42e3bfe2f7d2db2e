#pragma once

#include "core/requests/engine_types.h"
#include "wire/server_poller.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace orchidlead::wire {

/// A backend server's load as a polled document.
struct load_document
{
    using report = load_report;
    struct state
    { };
    static constexpr std::size_t MaxAnswerBytes = 4096;

    [[nodiscard]] static std::string path(const state & /*state*/) { return "/load"; }
    [[nodiscard]] static std::optional<load_report> parse(const backend_server_id &server,
                                                          state & /*state*/, std::string_view body);
};

/// Reads the load of a few servers that don't tell it with their answers.
using load_reader = server_poller<load_document>;

extern template class server_poller<load_document>;

} // namespace orchidlead::wire
