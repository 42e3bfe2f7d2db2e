#pragma once

#include "gateway/publication/store_history_reader.h"

#include <algorithm>
#include <iterator>

namespace orchidlead::gateway {

/// Longest time for reading the history; the client that continues a stream waits meanwhile.
inline constexpr milliseconds HistoryTimeout{500};
/// Calls to the store for one reading at most; each takes about 4 ms.
inline constexpr std::size_t MaxHistoryCalls = 60;
/// Time until a call is repeated that the store refused because of too many calls.
inline constexpr milliseconds HistoryRetryDelay{50};
/// First distance of the search from the latest revision, and its growth until a revision is gone.
inline constexpr std::uint64_t FirstSearchDistance = 64;
inline constexpr std::uint64_t SearchGrowth = 8;
/// The store answers a watch at once if there are changes, else after this time.
inline constexpr milliseconds HistoryWatchWait{1};

template <gateway_codec Codec>
store_history_reader<Codec>::store_history_reader(http::io_loop &loop, store_reader<Codec> &store)
    : m_loop(loop)
    , m_store(store)
{ }

template <gateway_codec Codec>
void store_history_reader<Codec>::read(handler done)
{
    m_done = std::move(done);
    m_history = {};
    m_revision = 0;
    m_available = 0;
    m_gone = 0;
    m_distance = FirstSearchDistance;
    m_calls = 0;
    m_timer = m_loop.callAfter(HistoryTimeout, [this] {
        m_timer = 0;
        finish(false);
    });
    readList({});
}

template <gateway_codec Codec>
void store_history_reader<Codec>::call(
    const std::string &target, result<published_page, codec_error> (*parse)(std::string_view),
    page_handler onPage, std::function<void()> onGone)
{
    constexpr int Ok = 200;
    constexpr int Gone = 410;
    constexpr int TooMany = 429;
    if (++m_calls > MaxHistoryCalls) {
        finish(false);
        return;
    }
    m_store.get(target, HistoryTimeout,
                [this, target, parse, onPage = std::move(onPage), onGone = std::move(onGone),
                 generation = m_generation](const store_answer &answer) {
                    if (generation != m_generation)
                        return;
                    if (answer.failure.empty() && answer.status == TooMany) {
                        m_loop.callAfter(HistoryRetryDelay, [=, this] {
                            if (generation == m_generation)
                                call(target, parse, onPage, onGone);
                        });
                        return;
                    }
                    if (answer.failure.empty() && answer.status == Gone && onGone) {
                        onGone();
                        return;
                    }
                    const bool ok = answer.failure.empty() && answer.status == Ok;
                    auto page = ok ? parse(answer.body)
                                   : result<published_page, codec_error>(codec_error{"no answer"});
                    if (page)
                        onPage(std::move(page).value());
                    else
                        finish(false);
                });
}

// Changes between two pages are among the changes that are read afterwards.
template <gateway_codec Codec>
void store_history_reader<Codec>::readList(const std::string &after)
{
    call(Codec::serversTarget(after, read_consistency::Latest), &Codec::readPage,
         [this](published_page &&page) {
             m_revision = std::max(m_revision, page.revision);
             std::ranges::move(page.items, std::back_inserter(m_history.present));
             if (page.more && !page.lastKey.empty()) {
                 readList(page.lastKey);
                 return;
             }
             m_available = m_revision;
             tryRevision(0);
         },
         {});
}

template <gateway_codec Codec>
void store_history_reader<Codec>::tryRevision(std::uint64_t revision)
{
    call(
        Codec::watchTarget(revision, HistoryWatchWait), &Codec::readChanges,
        [this, revision](published_page &&) {
            m_available = revision;
            search();
        },
        [this, revision] {
            m_gone = revision;
            search();
        });
}

template <gateway_codec Codec>
void store_history_reader<Codec>::search()
{
    if (m_available <= m_gone + 1) {
        m_history.after = m_available;
        m_history.isWhole = m_available == 0;
        readChanges();
        return;
    }
    const bool grows = m_gone == 0 && m_revision > m_distance;
    if (grows) {
        const auto next = m_revision - std::exchange(m_distance, m_distance * SearchGrowth);
        tryRevision(next);
        return;
    }
    tryRevision(m_gone + (m_available - m_gone) / 2);
}

// The store drops further changes while this node reads, so the oldest ones may be gone by now.
template <gateway_codec Codec>
void store_history_reader<Codec>::readChanges()
{
    const auto from = std::max(m_history.after, m_available);
    call(
        Codec::watchTarget(from, HistoryWatchWait), &Codec::readChanges,
        [this, from](published_page &&page) {
            std::ranges::move(page.items, std::back_inserter(m_history.changes));
            m_available = std::max(from, page.revision);
            if (m_available >= m_revision || m_available == from)
                finish(m_available >= m_revision);
            else
                readChanges();
        },
        [this, from] {
            if (!m_history.changes.empty() || from >= m_revision) {
                finish(false);
                return;
            }
            m_history.after = from + 1;
            m_history.isWhole = false;
            readChanges();
        });
}

template <gateway_codec Codec>
void store_history_reader<Codec>::finish(bool complete)
{
    ++m_generation;
    m_loop.cancelTimer(std::exchange(m_timer, 0));
    const auto done = std::exchange(m_done, {});
    done(complete ? std::optional(std::move(m_history)) : std::nullopt);
}

} // namespace orchidlead::gateway
