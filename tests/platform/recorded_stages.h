#pragma once

#include "platform_world.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace orchidlead::platform_world {

/// Records what stage servers compute, and which of their results are freed.
class recorded_stages
{
public:
    /// Called with the complete answer to a stage call, to send it now or later.
    using answer_sender =
        std::function<void(const std::shared_ptr<server_answer> &answer, const std::string &bytes)>;

    /// Makes a server answer frees at once, and stage calls through `send`.
    void serve(fake_server &server, answer_sender send);

    std::map<std::string, int> computed; ///< pieces, by the request's attempt
    std::multiset<std::string> freed; ///< attempts of freed results
    fake_server *lastCalled = nullptr;

private:
    /// Returns the answer to a stage call.
    [[nodiscard]] std::string compute(const fake_server &server, const server_request &request);

    std::map<std::string, std::string> m_made; ///< handle to attempt
};

} // namespace orchidlead::platform_world
