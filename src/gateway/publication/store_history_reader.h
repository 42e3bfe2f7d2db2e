#pragma once

#include "gateway/publication/store_history.h"
#include "gateway/publication/store_reader.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace orchidlead::gateway {

/// Reads the list of servers and all changes before it that the store still has. The store names
/// neither the oldest of them nor their times, so the oldest one is searched by trying revisions.
///
/// Used by a node that has lost its memory and finds no other node that has kept it; nothing is
/// read in normal operation.
template <gateway_codec Codec>
class store_history_reader
{
public:
    using handler = std::function<void(std::optional<store_history>)>;

    store_history_reader(http::io_loop &loop, store_reader<Codec> &store);

    /// Reads the history. Calls the handler once, without a history if the store fails or takes
    /// too long. Must not be called again before that.
    void read(handler done);

private:
    using page_handler = std::function<void(published_page &&)>;

    void readList(const std::string &after);
    /// Searches the lowest revision from which on the store has all changes.
    void search();
    void tryRevision(std::uint64_t revision);
    void readChanges();
    /// Makes a call; its answer is dropped if the reading ends before. `onGone` handles the answer
    /// that the changes from that revision on are not all there.
    void call(const std::string &target,
              result<published_page, codec_error> (*parse)(std::string_view), page_handler onPage,
              std::function<void()> onGone);
    void finish(bool complete);

    http::io_loop &m_loop;
    store_reader<Codec> &m_store;
    handler m_done; ///< empty: not reading
    std::uint64_t m_generation = 0; ///< incremented when a reading ends
    http::timer_id m_timer = 0;
    store_history m_history;
    std::uint64_t m_revision = 0; ///< of the store when the list was read
    std::uint64_t m_available = 0; ///< lowest revision from which on the changes are known to exist
    std::uint64_t m_gone = 0; ///< highest revision from which on some of them are gone
    std::uint64_t m_distance = 0; ///< below `m_revision`, of the next revision to try
    std::size_t m_calls = 0;
};

} // namespace orchidlead::gateway

#include "gateway/publication/store_history_reader_impl.h"
