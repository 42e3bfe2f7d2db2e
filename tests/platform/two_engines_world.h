#pragma once

#include "platform_world.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace orchidlead::platform_world {

/// Ends the answer of a chunked stream.
inline const std::string EndOfStream = "0\r\n\r\n";

/// Returns events with the numbers from `first` to `last`.
inline std::string events(int first, int last)
{
    std::string text;
    for (int i = first; i <= last; ++i)
        text += event(i);
    return text;
}

/// Two engines before gateways, with a script for the answer to each request in the order of
/// arrival, whichever engine gets it.
struct two_engines_world : world
{
    using answer_ptr = std::shared_ptr<server_answer>;
    using script = std::function<void(const server_request &, const answer_ptr &)>;

    two_engines_world()
    {
        publish(1, streamRoute(true));
        for (const auto *id : {"e-1", "e-2"}) {
            addServer("engine", id)
                .setBehaviour([this](const server_request &request, const answer_ptr &answer) {
                    arrived.push_back(request);
                    REQUIRE(arrived.size() <= scripts.size());
                    scripts[arrived.size() - 1](request, answer);
                });
        }
        startGateway("g1");
    }

    [[nodiscard]] http::request_head streamRequest(const std::string &attempt) const
    {
        auto head = makeRequest("POST", "/s/x", attempt);
        for (auto &field : head.fields) {
            if (field.name == "X-Deadline-Ms")
                field.value = "4000";
        }
        head.fields.push_back({"X-Prefix-Hash", "a:100,b:50"});
        return head;
    }

    std::shared_ptr<client_answer> ask(const std::string &gateway = "g1")
    {
        return request(gateway, streamRequest("a1"), "prompt");
    }

    [[nodiscard]] std::string lastEventOf(std::size_t arrival) const
    {
        const auto &fields = arrived.at(arrival).head.fields;
        return std::string(http::findField(fields, "last-event-id").value_or("none"));
    }

    std::vector<script> scripts;
    std::vector<server_request> arrived;
};

} // namespace orchidlead::platform_world
