#include "wire/cache_event_reader.h"

#include "wire/json_text.h"

#include <charconv>

namespace orchidlead::wire {

namespace {

/// An event with its place in the engine's order.
struct numbered_event
{
    std::uint64_t sequence = 0;
    cache_event event;
};

std::optional<std::uint64_t> parseHash(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    std::uint64_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value, Hexadecimal);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<numbered_event> parseEvent(const Json::Value &value)
{
    const auto sequence = unsignedMember(value, "sequence");
    const auto prefix = parseHash(stringMember(value, "prefix").value_or(""));
    const auto change = fromName<cache_change>(stringMember(value, "event").value_or(""));
    if (!sequence || !prefix || !change)
        return std::nullopt;
    return numbered_event{*sequence, {*prefix, *change}};
}

} // namespace

std::string cache_document::path(const state &state)
{
    return "/cache/events?after=" + std::to_string(state.last);
}

std::optional<cache_report> cache_document::parse(const backend_server_id &server, state &state,
                                                  std::string_view body)
{
    const auto parsed = parseJson(body, {MaxAnswerBytes});
    if (!parsed)
        return std::nullopt;
    const auto last = unsignedMember(parsed.value(), "last");
    const Json::Value *events = findMember(parsed.value(), "events");
    if (!last || events == nullptr || !events->isArray() || events->size() > MaxEvents)
        return std::nullopt;
    cache_report report{server, {}, false};
    const bool restarted = *last < state.last;
    std::uint64_t previous = restarted ? 0 : state.last;
    report.forgetEarlier = restarted;
    for (const auto &value : *events) {
        const auto event = parseEvent(value);
        if (!event)
            return std::nullopt;
        if (event->sequence <= previous)
            continue; // doubled
        if (event->sequence != previous + 1) {
            report.forgetEarlier = true;
            report.events.clear();
        }
        previous = event->sequence;
        report.events.push_back(event->event);
    }
    if (previous < *last) {
        report.forgetEarlier = true;
        report.events.clear();
    }
    state.last = *last;
    return report;
}

template class server_poller<cache_document>;

} // namespace orchidlead::wire
