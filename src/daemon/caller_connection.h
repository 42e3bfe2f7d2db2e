#pragma once

#include "core/requests/engine_types.h"
#include "net/http_server.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace orchidlead::daemon {

/// One caller's open request: turns tokens and the end into HTTP.
///
/// Nothing is written before the first token, so that a refusal keeps its own HTTP status.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// `setReading(false)` is called when more than `maxQueuedBytes` wait for the caller, and
    /// `setReading(true)` when all of them have left.
    caller_connection(net::response_ptr response, std::size_t maxQueuedBytes,
                      std::function<void(bool reading)> setReading);

    void onChunk(const std::string &text);
    void onAnswer(const final_answer &answer);

private:
    void begin();
    void pauseWhenFull();
    void resume();

    net::response_ptr m_response;
    std::size_t m_maxQueuedBytes;
    std::function<void(bool reading)> m_setReading;
    bool m_begun = false;
    bool m_paused = false;
};

} // namespace orchidlead::daemon
