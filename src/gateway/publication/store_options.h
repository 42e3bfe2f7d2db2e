#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>

namespace orchidlead::gateway {

/// Timing of store reads.
struct store_options
{
    /// Wait time of a watch while no other node relies on this node.
    milliseconds watchWait{1500};
    /// Wait time of a watch while other nodes rely on this node: they must learn soon that it
    /// receives no answers.
    milliseconds watchWaitWithFollowers{700};
    /// A node counts as reading the store if it had an answer within this time: a watch without
    /// changes, the pause after it, and an answer of a slow store.
    milliseconds silenceTimeout{1400};
    /// Pause between two watches: changes made meanwhile share an answer, and each call has a
    /// price. A third of the minimum bound for a configuration to be in force, which is 2 s.
    milliseconds watchPause{600};
    /// After an answer with at least this many changes the next watch follows at once: an answer
    /// holds some hundreds of changes, so more are already waiting.
    std::size_t largeAnswer = 300;
    /// Minimum interval between two fetches of the configuration alone: versions published in quick
    /// succession share one fetch.
    milliseconds fetchPause{250};
    /// Largest answer of the store: several times the changes that thousands of servers write while
    /// a node doesn't watch.
    std::size_t maxAnswerBytes = 32U << 20U;
    milliseconds answerTimeout{1000}; ///< beyond the wait time; the store answers in 4 ms
    /// Time beyond the wait time after which a watch is repeated on a new connection. The two
    /// together are shorter than `MaxContactGap` by a further call to a slow store.
    milliseconds overdueTime{300};
    /// Delay after a failed call, doubled by each further failure, plus a random time up to the
    /// same length: otherwise nodes that start at the same time would keep retrying at the same
    /// time.
    milliseconds firstBackoff{150};
    milliseconds maxBackoff{1000};
};

/// Returns options with which a configuration is in force within `bound` of its publication, also
/// on nodes whose readers have just lost the connection to the store.
[[nodiscard]] store_options storeOptionsFor(milliseconds bound);

} // namespace orchidlead::gateway
