#pragma once

#include "gateway/codec.h"
#include "gateway/publication/published_state.h"
#include "gateway/publication/store_options.h"
#include "http/connection_pool.h"
#include "wire/log.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// What was read from the store just now.
struct store_news
{
    const std::vector<published_item> &items;
    bool whole = false; ///< all servers, not only changes; the state has them already
};

/// Reads the store: first what operators published and a list of servers that may be old, so that
/// the node can serve at once. Where the list has many pages it reads no more than the first one:
/// were all nodes to read it whole when they start together, the store's link would be busy for as
/// many lists as there are nodes. Then it waits until it is told to read on, since others may read
/// for this node; it goes on from what they told, or else reads the latest list, watches it, and
/// begins anew when its history is gone.
template <gateway_codec Codec>
class store_follower
{
public:
    store_follower(http::io_loop &loop, http::connection_pool &pool, const socket_address &store,
                   published_state &state, std::function<void(publication_news)> onNews,
                   wire::log &log, std::uint32_t seed, const store_options &options = {});

    void start() { readFirstPage(); }
    /// Begins or ends to read on. Reading begins where it ended, or where others have come since.
    void setReading(bool reading);
    /// A list of many pages waits until it is read, or comes from others; so does what operators
    /// published.
    [[nodiscard]] bool waitsForList() const { return m_waitsForList; }
    /// Reads what waits.
    void readList(read_freshness ofServers);
    /// Reads the configuration alone, whether this node reads or not.
    void fetchConfiguration();
    /// Other nodes rely on what this one reads.
    void setWatched(bool watched) { m_watched = watched; }
    /// Everything up to this revision was learnt from others, a list that waits included.
    void advanceTo(std::uint64_t revision);
    /// Called with what was read, before the state takes changes and after it took a whole list.
    void onRead(std::function<void(const store_news &)> handler) { m_onRead = std::move(handler); }

    [[nodiscard]] bool connected() const { return m_connected; }
    [[nodiscard]] bool reading() const { return m_reading; }
    /// Everything was read once, be it old; what comes then are changes.
    [[nodiscard]] bool whole() const { return m_whole; }
    /// How long the store has been silent, or how long this node hasn't tried to read it.
    [[nodiscard]] milliseconds silentFor() const
    {
        return std::chrono::duration_cast<milliseconds>(m_loop.now() - m_heardAt);
    }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// Whether this node reads the store and heard of it lately.
    [[nodiscard]] bool current() const
    {
        return m_reading && m_connected && m_loop.now() - m_heardAt <= m_options.silence;
    }

private:
    struct store_answer
    {
        int status = 0;
        std::string body;
        std::string failure; ///< empty: the answer is whole
    };
    /// A call whose answer is awaited.
    struct open_read
    {
        store_answer answer;
        http::pool_call call = 0;
        http::timer_id timer = 0; ///< gives it up
        std::function<void(const store_answer &)> onAnswer;
    };
    using page_reader = result<published_page, codec_error> (*)(std::string_view);

    void readFirstPage();
    /// Reads all that operators published, from the page after that key on; then the servers.
    void readOperations(const std::string &after, read_freshness ofServers);
    void readServers(const std::string &after, read_freshness freshness);
    void onServers(published_page &&page, read_freshness freshness);
    void watch();
    http::pool_call get(const std::string &target, milliseconds timeout,
                        std::function<void(const store_answer &)> onAnswer);
    /// From now on the call is given up when nothing of its answer comes for so long.
    void giveTime(const std::shared_ptr<open_read> &read, milliseconds time);
    void call(const std::string &target, milliseconds timeout, page_reader read,
              std::function<void(published_page &&)> onPage);
    void onAnswer(int status, const std::string &body, page_reader read,
                  const std::function<void(published_page &&)> &onPage);
    void onFailure(std::string_view why);
    [[nodiscard]] milliseconds nextPause();
    void onHistoryGone();
    void report(const std::vector<publication_news> &news);
    void tell(const store_news &news);
    /// Calls `step` later, unless reading ends or begins meanwhile.
    void after(milliseconds time, std::function<void()> step);

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
    bool m_latest = false; ///< and what was read was the latest: changes can be watched from there
    std::optional<published_page> m_firstPage; ///< that was read before what operators published
    bool m_waitsForList = false;
    bool m_waits = false; ///< has read what may be old, and waits to be told to read on
    bool m_connected = false;
    bool m_reading = true;
    bool m_watched = false;
    bool m_fetching = false;
    steady_time m_nextFetch{};
    std::uint64_t m_session = 0; ///< counts the times that reading began or ended
    http::pool_call m_call = 0; ///< that is open
    steady_time m_heardAt{};
    std::function<void(const store_news &)> m_onRead;
    milliseconds m_backoff{0};
    std::function<void()> m_again; ///< the step that is being done
    std::minstd_rand m_random;
};

} // namespace orchidlead::gateway

#include "gateway/publication/store_follower_impl.h"
