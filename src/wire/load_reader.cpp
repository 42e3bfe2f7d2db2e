#include "wire/load_reader.h"

#include "wire/json_text.h"
#include "wire/stage_wire.h"

namespace orchidlead::wire {

std::optional<load_report> load_document::parse(const backend_server_id &server, state & /*state*/,
                                                std::string_view body)
{
    const auto parsed = parseJson(body, {MaxAnswerBytes});
    if (!parsed)
        return std::nullopt;
    const auto load = parseLoad(parsed.value());
    if (!load)
        return std::nullopt;
    return load_report{server, load->running, load->queued, load->leaving};
}

template class server_poller<load_document>;

} // namespace orchidlead::wire
