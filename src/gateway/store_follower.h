#pragma once

#include "gateway/codec.h"
#include "gateway/published_state.h"
#include "http/connection_pool.h"
#include "wire/log.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// How the store is read.
struct store_options
{
    /// Of one watch. Short, so that a silent store is noticed within the bound for configuration.
    milliseconds watchWait{1500};
    /// Between two watches: changes that come meanwhile share an answer, and each call is priced.
    /// A third of the bound for configuration, which is 2 s.
    milliseconds watchPause{600};
    milliseconds answerTimeout{1000}; ///< beyond the wait; the store answers in 4 ms
    /// After a failed call; doubled by each further one, and up to as much again by chance: when
    /// all nodes start at once they would else ask together again and again.
    milliseconds firstBackoff{150};
    milliseconds maxBackoff{1000};
};

/// Reads the store from the start, then watches it, and begins anew when its history is gone.
template <gateway_codec Codec>
class store_follower
{
public:
    store_follower(http::io_loop &loop, http::connection_pool &pool, const socket_address &store,
                   published_state &state, std::function<void(publication_news)> onNews,
                   wire::log &log, std::uint32_t seed, const store_options &options = {});

    void start() { readConfiguration(); }
    [[nodiscard]] bool connected() const { return m_connected; }

private:
    using page_reader = result<published_page, codec_error> (*)(std::string_view);

    void readConfiguration();
    void readServers(const std::string &after);
    void watch();
    void call(const std::string &target, milliseconds timeout, page_reader read,
              std::function<void(published_page &&)> onPage);
    void onAnswer(int status, const std::string &body, page_reader read,
                  const std::function<void(published_page &&)> &onPage);
    void onFailure(std::string_view why);
    [[nodiscard]] milliseconds nextPause();
    void onHistoryGone();
    void report(const std::vector<publication_news> &news);

    http::io_loop &m_loop;
    http::connection_pool &m_pool;
    socket_address m_store;
    published_state &m_state;
    std::function<void(publication_news)> m_onNews;
    wire::log &m_log;
    store_options m_options;
    std::vector<published_item> m_list; ///< pages read so far
    std::uint64_t m_revision = 0; ///< everything up to it is known
    std::uint64_t m_listRevision = 0; ///< when the first page was read
    bool m_whole = false; ///< has read everything once since the history was lost
    bool m_connected = false;
    milliseconds m_backoff{0};
    std::function<void()> m_again; ///< the step that is being done
    std::minstd_rand m_random;
};

} // namespace orchidlead::gateway

#include "gateway/store_follower_impl.h"
