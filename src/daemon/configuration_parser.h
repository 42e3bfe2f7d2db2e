#pragma once

#include "core/configuration/published_configuration.h"
#include "net/event_loop.h"

#include <orchidlead/result.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace orchidlead::daemon {

/// What a published document is, or each line of what is wrong with it.
using parsed_configuration = result<configuration_ptr, std::vector<std::string>>;

/// Parses published documents on a thread of its own: a large one takes longer than the event loop
/// may stand still.
class configuration_parser
{
public:
    using handler = std::function<void(std::string content)>;

    explicit configuration_parser(net::event_loop &loop);
    ~configuration_parser();
    configuration_parser(const configuration_parser &) = delete;
    configuration_parser &operator=(const configuration_parser &) = delete;

    /// Parses and then calls `onParsed` on the loop's thread, where `resultOf` has the outcome.
    void parse(std::uint64_t version, std::string content, handler onParsed);

    /// Gives the outcome of the document that was parsed last; parses any other at once.
    [[nodiscard]] parsed_configuration resultOf(std::uint64_t version, std::string_view content);

private:
    struct job
    {
        std::uint64_t version = 0;
        std::string content;
        handler onParsed;
    };

    void run();
    void finish(job done, parsed_configuration parsed);

    net::event_loop &m_loop;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); ///< tells tasks of the loop
    std::mutex m_mutex; ///< guards the queue
    std::condition_variable m_wake;
    std::deque<job> m_queue;
    bool m_ending = false;
    std::uint64_t m_lastVersion = 0; ///< these three belong to the loop's thread
    std::string m_lastContent;
    std::optional<parsed_configuration> m_last;
    std::thread m_thread;
};

} // namespace orchidlead::daemon
