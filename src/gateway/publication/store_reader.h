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

/// An update just read from the store.
struct store_update
{
    const std::vector<published_item> &items;
    bool complete = false; ///< a complete list, already applied to the state, instead of changes
};

/// The answer to a call to the store.
struct store_answer
{
    int status = 0;
    std::string body;
    std::string failure; ///< empty if the answer is complete
};

/// What a single reading of the latest changes shows.
enum class changes_read {
    All, ///< the list includes everything that was published before the call
    More, ///< further changes follow
    Refused, ///< too many calls to the store
    Failed,
};

/// Reads the store. At the start it reads what operators published and a list of servers that may
/// be old, so that the node can serve at once. If the list has several pages, it reads only the
/// first one: if all nodes that start at the same time read the complete list, the link of the
/// store would carry as many lists as there are nodes.
///
/// Then it waits for the decision to read on, since other nodes may read the store for this node.
/// It continues from the state received from other nodes, or else reads the latest list and watches
/// for changes. It starts over when the store no longer has the history from its revision on.
template <gateway_codec Codec>
class store_reader
{
public:
    store_reader(http::io_loop &loop, http::connection_pool &pool, const socket_address &store,
                 published_state &state, std::function<void(publication_event)> onEvent,
                 wire::log &log, std::uint32_t seed, const store_options &options = {});

    void start() { readFirstPage(); }
    /// Starts or stops reading the store. Reading continues from the last revision read or received
    /// from other nodes.
    void setReading(bool reading);
    /// Returns whether a list of several pages, together with what operators published, has still
    /// to be read or received from other nodes.
    [[nodiscard]] bool listPending() const { return m_listPending; }
    /// Reads the pending list and what operators published.
    void readList(read_consistency serverFreshness);
    /// Fetches only the configuration from the store, also if this node gets all other publications
    /// from other nodes.
    void fetchConfiguration();
    /// Sets whether other nodes rely on what this node reads.
    void setHasFollowers(bool hasFollowers) { m_hasFollowers = hasFollowers; }
    /// Records that everything up to `revision`, including a pending list, was received from other
    /// nodes.
    void advanceTo(std::uint64_t revision);
    /// Sets the handler of updates. It is called before changes are applied to the state, and after
    /// a complete list has been applied.
    void onRead(std::function<void(const store_update &)> handler)
    {
        m_onRead = std::move(handler);
    }

    /// Makes a single call, independently of what this reader does. The call is abandoned if no
    /// part of its answer arrives within `timeout`.
    http::pool_call get(const std::string &target, milliseconds timeout,
                        const std::function<void(const store_answer &)> &onAnswer);

    /// Returns the call that reads the changes after the known revision, without waiting for any;
    /// empty if no latest list is known. The answer is to be given to `onChangesRead`.
    [[nodiscard]] std::optional<std::string> changesTarget() const;
    /// Applies the answer to the call of `changesTarget`. Returns what it shows.
    changes_read onChangesRead(const store_answer &answer);

    [[nodiscard]] bool connected() const { return m_connected; }
    [[nodiscard]] bool reading() const { return m_reading; }
    /// Returns whether the complete state, possibly an old one, has been read once; only changes
    /// follow.
    [[nodiscard]] bool complete() const { return m_complete; }
    /// Returns the time since the last answer of the store, or since the start if there was none.
    /// It also grows while this node does not read the store.
    [[nodiscard]] milliseconds silentFor() const
    {
        return std::chrono::duration_cast<milliseconds>(m_loop.now() - m_lastAnswerAt);
    }
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// Returns whether this node reads the store and had an answer within `silenceTimeout`.
    [[nodiscard]] bool isCurrent() const
    {
        return m_reading && m_connected
            && m_loop.now() - m_lastAnswerAt <= m_options.silenceTimeout;
    }

private:
    /// A call without an answer yet.
    struct open_read
    {
        store_answer answer;
        http::pool_call call = 0;
        http::timer_id timer = 0; ///< abandons the call
        bool begun = false; ///< a part of the answer has arrived
        std::function<void(const store_answer &)> onAnswer;
    };
    /// Makes a call. It is abandoned if no part of its answer arrives within `timeout`.
    std::shared_ptr<open_read> startRead(const std::string &target, milliseconds timeout,
                                         const std::function<void(const store_answer &)> &onAnswer);
    using page_reader = result<published_page, codec_error> (*)(std::string_view);

    void readFirstPage();
    /// Reads everything that operators published, beginning after the key `after`, and then the
    /// servers.
    void readOperations(const std::string &after, read_consistency serverFreshness);
    void readServers(const std::string &after, read_consistency freshness);
    void onServers(published_page &&page, read_consistency freshness);
    /// Returns how long the next watch may wait for changes.
    [[nodiscard]] milliseconds watchWait() const;
    void watch();
    void onWatched(const published_page &page);
    /// Reads the changes on a new connection if no part of the answer to this watch has arrived.
    void replaceOverdueWatch(http::pool_call overdue);
    /// Applies the changes after the known revision, and sends them to the followers.
    void applyChanges(const published_page &page);
    /// Restarts the timer that abandons the call if no part of its answer arrives within `time`.
    void restartTimeout(const std::shared_ptr<open_read> &read, milliseconds time);
    void call(const std::string &target, milliseconds timeout, page_reader read,
              std::function<void(published_page &&)> onPage);
    void onAnswer(int status, const std::string &body, page_reader read,
                  const std::function<void(published_page &&)> &onPage);
    void onFailure(std::string_view why);
    [[nodiscard]] milliseconds nextPause();
    void onHistoryGone();
    void reportEvents(const std::vector<publication_event> &events);
    void notifyReadHandler(const store_update &update);
    /// Calls `step` after `time`, unless reading starts or stops meanwhile.
    void after(milliseconds time, std::function<void()> step);

    http::io_loop &m_loop;
    http::connection_pool &m_pool;
    socket_address m_store;
    published_state &m_state;
    std::function<void(publication_event)> m_onEvent;
    wire::log &m_log;
    store_options m_options;
    std::vector<published_item> m_list; ///< pages read so far
    std::uint64_t m_revision = 0; ///< all changes up to this revision are known
    std::uint64_t m_listRevision = 0; ///< earliest revision of the pages read so far
    /// The complete state was read or received, and no reading of it has begun since.
    bool m_complete = false;
    bool m_latest = false; ///< the state is not an old one: a watch can begin at `m_revision`
    std::optional<published_page> m_firstPage; ///< of servers, read before what operators published
    bool m_listPending = false;
    bool m_awaitingReadDecision = false; ///< idle after an old list, until `setReading(true)`
    bool m_connected = false;
    bool m_reading = true;
    bool m_hasFollowers = false;
    bool m_fetchingConfiguration = false;
    steady_time m_nextFetch{};
    std::uint64_t m_readGeneration = 0; ///< incremented when reading starts or stops
    http::pool_call m_call = 0; ///< the open call
    std::shared_ptr<open_read> m_read; ///< of the last call
    steady_time m_lastAnswerAt{};
    std::function<void(const store_update &)> m_onRead;
    milliseconds m_backoff{0};
    std::function<void()> m_currentStep; ///< repeats the current step
    std::minstd_rand m_random;
};

} // namespace orchidlead::gateway

#include "gateway/publication/store_reader_impl.h"
