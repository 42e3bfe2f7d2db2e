#include "version_stream.h"

#include <memory>
#include <string_view>
#include <utility>

namespace orchidlead::platform_world {

namespace {

void writeEvents(http::io_loop &loop, const std::shared_ptr<server_answer> &answer,
                 const std::string &version, int number, int count, milliseconds interval)
{
    if (!answer->isOpen())
        return;
    if (number > count) {
        answer->write("0\r\n\r\n");
        return;
    }
    answer->write(chunk("id: " + std::to_string(number) + "\ndata: " + version + "\n\n"));
    loop.callAfter(interval, [&loop, answer, version, number, count, interval] {
        writeEvents(loop, answer, version, number + 1, count, interval);
    });
}

} // namespace

version_events parseVersionEvents(const std::string &text)
{
    constexpr std::string_view Id = "id: ";
    constexpr std::string_view Data = "data: ";
    version_events events;
    for (auto at = text.find(Id); at != std::string::npos; at = text.find(Id, at + 1)) {
        const int number = std::stoi(text.substr(at + Id.size()));
        events.contiguous = events.contiguous && number == events.last + 1;
        events.last = number;
        if (const auto data = text.find(Data, at); data != std::string::npos) {
            const auto begin = data + Data.size();
            events.versions.insert(text.substr(begin, text.find('\n', begin) - begin));
        }
    }
    return events;
}

std::string completeEvents(const std::string &text)
{
    const auto end = text.rfind("\n\n");
    return end == std::string::npos ? std::string() : text.substr(0, end + 2);
}

server_behaviour versionStreams(http::io_loop &loop, std::string version, int count,
                                milliseconds interval)
{
    return [&loop, version = std::move(version), count,
            interval](const server_request &request, const std::shared_ptr<server_answer> &answer) {
        const auto last = http::findField(request.head.fields, "last-event-id");
        answer->write(streamHead(request));
        writeEvents(loop, answer, version, last ? std::stoi(std::string(*last)) + 1 : 1, count,
                    interval);
    };
}

} // namespace orchidlead::platform_world
