#pragma once

#include "gateway/log_event.h"
#include "gateway/publication/store_reader.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace orchidlead::gateway {

/// HTTP statuses of the store.
inline constexpr int StoreStatusOk = 200;
inline constexpr int StoreStatusNotFound = 404;
inline constexpr int StoreStatusGone = 410;
inline constexpr int StoreStatusTooMany = 429;
/// Wait time of a watch that is answered at once.
inline constexpr milliseconds ShortestWatchWait{1};

template <gateway_codec Codec>
store_reader<Codec>::store_reader(http::io_loop &loop, http::connection_pool &pool,
                                  const socket_address &store, published_state &state,
                                  std::function<void(publication_event)> onEvent, wire::log &log,
                                  std::uint32_t seed, const store_options &options)
    : m_loop(loop)
    , m_pool(pool)
    , m_store(store)
    , m_state(state)
    , m_onEvent(std::move(onEvent))
    , m_log(log)
    , m_options(options)
    , m_lastAnswerAt(loop.now())
    , m_random(seed)
{ }

template <gateway_codec Codec>
void store_reader<Codec>::reportEvents(const std::vector<publication_event> &events)
{
    for (const auto &each : events)
        m_onEvent(each);
}

template <gateway_codec Codec>
void store_reader<Codec>::notifyReadHandler(const store_update &update)
{
    if (m_onRead)
        m_onRead(update);
}

template <gateway_codec Codec>
void store_reader<Codec>::after(milliseconds time, std::function<void()> step)
{
    m_loop.callAfter(time, [this, generation = m_readGeneration, step = std::move(step)] {
        if (generation == m_readGeneration)
            step();
    });
}

template <gateway_codec Codec>
void store_reader<Codec>::setReading(bool reading)
{
    const bool waited = std::exchange(m_awaitingReadDecision, false);
    if (std::exchange(m_reading, reading) == reading && !(waited && reading))
        return;
    ++m_readGeneration;
    m_pool.abandon(std::exchange(m_call, 0));
    if (!reading)
        return;
    if (m_complete && m_latest)
        watch();
    else
        readOperations({}, read_consistency::Latest);
}

template <gateway_codec Codec>
void store_reader<Codec>::advanceTo(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_latest = true;
    if (!std::exchange(m_listPending, false))
        return;
    m_complete = true;
    m_awaitingReadDecision = true;
}

template <gateway_codec Codec>
void store_reader<Codec>::readFirstPage()
{
    m_currentStep = [this] { readFirstPage(); };
    call(Codec::serversTarget({}, read_consistency::MayBeStale), m_options.answerTimeout,
         &Codec::readPage, [this](published_page &&page) {
             // An empty list means that the whole fleet has just started; the readers receive the
             // first servers.
             m_listPending = page.more || page.items.empty();
             if (m_listPending)
                 return;
             m_firstPage = std::move(page);
             readOperations({}, read_consistency::MayBeStale);
         });
}

template <gateway_codec Codec>
void store_reader<Codec>::readList(read_consistency serverFreshness)
{
    if (std::exchange(m_listPending, false))
        readOperations({}, serverFreshness);
}

template <gateway_codec Codec>
void store_reader<Codec>::readOperations(const std::string &after, read_consistency serverFreshness)
{
    m_complete = false;
    m_currentStep = [this, after, serverFreshness] { readOperations(after, serverFreshness); };
    call(Codec::operationsTarget(after), m_options.answerTimeout, &Codec::readPage,
         [this, first = after.empty(), serverFreshness](published_page &&page) {
             if (first) {
                 m_listRevision = page.revision;
                 m_list.clear();
             }
             std::ranges::move(page.items, std::back_inserter(m_list));
             if (page.more && !page.lastKey.empty()) {
                 readOperations(page.lastKey, serverFreshness);
                 return;
             }
             reportEvents(m_state.applyOperatorItems(m_list, m_listRevision));
             m_list.clear();
             if (auto servers = std::exchange(m_firstPage, std::nullopt))
                 onServers(std::move(*servers), serverFreshness);
             else
                 readServers({}, serverFreshness);
         });
}

template <gateway_codec Codec>
void store_reader<Codec>::readServers(const std::string &after, read_consistency freshness)
{
    m_currentStep = [this, after, freshness] { readServers(after, freshness); };
    call(Codec::serversTarget(after, freshness), m_options.answerTimeout, &Codec::readPage,
         [this, freshness](published_page &&page) { onServers(std::move(page), freshness); });
}

/// Returns the latest revision of any server of a list, which the whole list includes.
[[nodiscard]] inline std::uint64_t latestRevision(const std::vector<published_item> &list)
{
    std::uint64_t latest = 0;
    for (const auto &item : list) {
        if (const auto *each = std::get_if<published_server>(&item))
            latest = std::max(latest, each->revision);
    }
    return latest;
}

// The pages are read at different times and may be seconds old if that is allowed. So the watch
// begins at the lowest revision of all pages and repeats later changes.
template <gateway_codec Codec>
void store_reader<Codec>::onServers(published_page &&page, read_consistency freshness)
{
    if (m_listRevision == 0 || page.revision < m_listRevision)
        m_listRevision = page.revision;
    std::ranges::move(page.items, std::back_inserter(m_list));
    if (page.more && !page.lastKey.empty()) {
        readServers(page.lastKey, freshness);
        return;
    }
    // An old list has the current revision of the store but lacks earlier changes.
    const auto read = std::exchange(m_listRevision, 0);
    if (m_state.hasServerList())
        m_state.onChangesMissed();
    reportEvents(m_state.applyList(
        m_list, freshness == read_consistency::Latest ? read : latestRevision(m_list)));
    m_list.clear();
    m_revision = freshness == read_consistency::Latest ? read : 0;
    m_complete = true;
    m_latest = freshness == read_consistency::Latest;
    m_awaitingReadDecision = !m_latest;
    if (m_awaitingReadDecision)
        return;
    notifyReadHandler({{}, true});
    watch();
}

// The state may have missed changes for as long as the store hasn't answered, so an answer is due a
// fixed time after the last one, and at once after a failed call.
template <gateway_codec Codec>
milliseconds store_reader<Codec>::watchWait() const
{
    if (m_backoff > milliseconds{0})
        return ShortestWatchWait;
    const auto most = m_hasFollowers ? m_options.watchWaitWithFollowers : m_options.watchWait;
    return std::clamp(most - silentFor(), ShortestWatchWait, most);
}

template <gateway_codec Codec>
void store_reader<Codec>::watch()
{
    m_currentStep = [this] { watch(); };
    const auto wait = watchWait();
    call(Codec::watchTarget(m_revision, wait), wait + m_options.answerTimeout, &Codec::readChanges,
         [this](published_page &&page) { onWatched(page); });
    after(wait + m_options.overdueTime, [this, overdue = m_call] { replaceOverdueWatch(overdue); });
}

template <gateway_codec Codec>
void store_reader<Codec>::onWatched(const published_page &page)
{
    applyChanges(page);
    const bool pauses = !page.items.empty() && page.items.size() < m_options.largeAnswer;
    after(pauses ? m_options.watchPause : milliseconds{0}, [this] { watch(); });
}

// Connections may go silent while new ones work. The overdue call stays open: if the store is slow,
// its answer comes first.
template <gateway_codec Codec>
void store_reader<Codec>::replaceOverdueWatch(http::pool_call overdue)
{
    if (m_call != overdue || m_read->begun || !m_connected)
        return;
    m_log.write(wire::log_level::Info,
                m_log.line(wire::log_level::Info, toName(log_event::StoreAnswerOverdue))
                    .add("silent_ms", silentFor().count()));
    m_pool.closeIdle(m_store);
    get(Codec::watchTarget(m_revision, ShortestWatchWait), m_options.answerTimeout,
        [this, overdue, generation = m_readGeneration](const store_answer &answer) {
            const bool read = answer.failure.empty()
                && (answer.status == StoreStatusOk || answer.status == StoreStatusGone);
            if (generation != m_readGeneration || m_call != overdue || !read)
                return;
            m_loop.cancelTimer(m_read->timer);
            m_pool.abandon(std::exchange(m_call, 0));
            onAnswer(answer.status, answer.body, &Codec::readChanges,
                     [this](published_page &&page) { onWatched(page); });
        });
}

template <gateway_codec Codec>
void store_reader<Codec>::applyChanges(const published_page &page)
{
    m_revision = std::max(m_revision, page.revision);
    notifyReadHandler({page.items, false});
    reportEvents(m_state.apply(page.items));
    m_state.advanceEvacuations(page.revision);
}

template <gateway_codec Codec>
std::optional<std::string> store_reader<Codec>::changesTarget() const
{
    if (!m_latest || !m_state.hasServerList() || m_revision == 0)
        return std::nullopt;
    return Codec::watchTarget(m_revision, ShortestWatchWait);
}

template <gateway_codec Codec>
changes_read store_reader<Codec>::onChangesRead(const store_answer &answer)
{
    if (!answer.failure.empty() || answer.status != StoreStatusOk)
        return answer.failure.empty() && answer.status == StoreStatusTooMany ? changes_read::Refused
                                                                             : changes_read::Failed;
    const auto page = Codec::readChanges(answer.body);
    if (!page)
        return changes_read::Failed;
    m_state.onStoreAnswered();
    applyChanges(page.value());
    return page.value().items.size() < m_options.largeAnswer ? changes_read::All
                                                             : changes_read::More;
}

template <gateway_codec Codec>
http::pool_call store_reader<Codec>::get(const std::string &target, milliseconds timeout,
                                         const std::function<void(const store_answer &)> &onAnswer)
{
    return startRead(target, timeout, onAnswer)->call;
}

template <gateway_codec Codec>
auto store_reader<Codec>::startRead(const std::string &target, milliseconds timeout,
                                    const std::function<void(const store_answer &)> &onAnswer)
    -> std::shared_ptr<open_read>
{
    auto read = std::make_shared<open_read>();
    read->onAnswer = onAnswer;
    http::outbound_call made;
    made.maxBodyBytes = m_options.maxAnswerBytes;
    made.writeHead = [target, host = m_store.ip] {
        http::request_head head;
        head.method = "GET";
        head.target = target;
        head.fields.push_back({"Host", host});
        return std::optional(http::formatHead(head));
    };
    made.onHead = [read](const http::response_head &head) {
        read->begun = true;
        read->answer.status = head.status;
    };
    made.onBody = [this, read](std::string_view bytes) {
        read->answer.body.append(bytes);
        restartTimeout(read, m_options.answerTimeout);
    };
    made.onEnd = [this, read](http::call_end how) {
        m_loop.cancelTimer(read->timer);
        if (how != http::call_end::Complete)
            read->answer.failure = "connection";
        read->onAnswer(read->answer);
    };
    read->call = m_pool.start(m_store, std::move(made));
    restartTimeout(read, timeout);
    return read;
}

// The changes that thousands of servers write in a few seconds take seconds to transfer over a
// small link. If the call were abandoned and repeated, each answer would be longer than the last,
// and this node would never have the latest state.
template <gateway_codec Codec>
void store_reader<Codec>::restartTimeout(const std::shared_ptr<open_read> &read, milliseconds time)
{
    m_loop.cancelTimer(read->timer);
    read->timer = m_loop.callAfter(time, [this, read] {
        m_pool.abandon(read->call);
        m_pool.closeIdle(m_store); // they may be silent, too
        read->answer.failure = "timeout";
        read->onAnswer(read->answer);
    });
}

template <gateway_codec Codec>
void store_reader<Codec>::call(const std::string &target, milliseconds timeout, page_reader read,
                               std::function<void(published_page &&)> onPage)
{
    m_read =
        startRead(target, timeout,
                  [this, read, onPage, generation = m_readGeneration](const store_answer &answer) {
                      if (generation != m_readGeneration)
                          return;
                      m_call = 0;
                      if (answer.failure.empty())
                          onAnswer(answer.status, answer.body, read, onPage);
                      else
                          onFailure(answer.failure);
                  });
    m_call = m_read->call;
}

// Readers announce only the version: the text may have several hundred kilobytes, and sending it to
// all followers would occupy the link of a reader for seconds. If the store does not return the
// text, peers are asked (publication_relay).
template <gateway_codec Codec>
void store_reader<Codec>::fetchConfiguration()
{
    if (m_fetchingConfiguration || m_loop.now() < m_nextFetch)
        return;
    m_fetchingConfiguration = true;
    m_nextFetch = m_loop.now() + m_options.fetchPause;
    get(Codec::configurationTarget(), m_options.answerTimeout, [this](const store_answer &answer) {
        m_fetchingConfiguration = false;
        auto page = answer.failure.empty() && answer.status == StoreStatusOk
            ? Codec::readItem(answer.body)
            : result<published_page, codec_error>(codec_error{
                answer.failure.empty() ? std::to_string(answer.status) : answer.failure});
        if (page)
            reportEvents(m_state.apply(page.value().items));
        else
            m_log.write(wire::log_level::Info,
                        m_log.line(wire::log_level::Info, toName(log_event::StoreFetchFailed))
                            .add("reason", page.error().what));
    });
}

template <gateway_codec Codec>
void store_reader<Codec>::onAnswer(int status, const std::string &body, page_reader read,
                                   const std::function<void(published_page &&)> &onPage)
{
    if (status == StoreStatusGone) {
        onHistoryGone();
        return;
    }
    // No value has been published under this key yet.
    if (status == StoreStatusNotFound) {
        onPage({});
        return;
    }
    if (status != StoreStatusOk) {
        onFailure(std::to_string(status));
        return;
    }
    auto page = read(body);
    if (!page) {
        onFailure(page.error().what);
        return;
    }
    m_backoff = milliseconds{0};
    m_lastAnswerAt = m_loop.now();
    if (!std::exchange(m_connected, true))
        m_log.write(wire::log_level::Info,
                    m_log.line(wire::log_level::Info, toName(log_event::StoreRegained))
                        .add("revision", m_revision));
    m_state.onStoreAnswered();
    onPage(std::move(page).value());
}

template <gateway_codec Codec>
void store_reader<Codec>::onHistoryGone()
{
    m_log.write(wire::log_level::Info,
                m_log.line(wire::log_level::Info, toName(log_event::StoreHistoryGone))
                    .add("revision", m_revision));
    m_state.onChangesMissed();
    readOperations({}, read_consistency::Latest);
}

template <gateway_codec Codec>
void store_reader<Codec>::onFailure(std::string_view why)
{
    m_state.onStoreFailed();
    if (std::exchange(m_connected, false))
        m_log.write(
            wire::log_level::Warning,
            m_log.line(wire::log_level::Warning, toName(log_event::StoreLost)).add("reason", why));
    after(nextPause(), [this] {
        const auto retry = m_currentStep;
        retry();
    });
}

// Only the failed step is repeated, not the steps before it: if the store limits the rate of calls,
// nodes that all start at the same time would otherwise never read all pages.
template <gateway_codec Codec>
milliseconds store_reader<Codec>::nextPause()
{
    m_backoff = std::clamp(m_backoff * 2, m_options.firstBackoff, m_options.maxBackoff);
    const auto most = static_cast<std::int64_t>(m_backoff.count());
    return m_backoff + milliseconds{std::uniform_int_distribution<std::int64_t>(0, most)(m_random)};
}

} // namespace orchidlead::gateway
