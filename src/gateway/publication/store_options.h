#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>

#include <cstddef>

namespace orchidlead::gateway {

/// How the store is read.
struct store_options
{
    /// Of one watch, while nobody relies on this node.
    milliseconds watchWait{1500};
    /// The same where other nodes do: they must hear soon that it hears nothing.
    milliseconds relayedWait{700};
    /// A node counts as reading the store when it heard of it within this time: a watch that brings
    /// nothing, the pause behind it, and an answer of a slow store.
    milliseconds silence{1400};
    /// Between two watches: changes that come meanwhile share an answer, and each call is priced.
    /// A third of the least bound for configuration, which is 2 s.
    milliseconds watchPause{600};
    /// An answer with so many changes is followed by the next watch at once: more changes wait
    /// already, as an answer holds some hundreds.
    std::size_t manyChanges = 300;
    /// Between two readings of the configuration alone: versions that follow each other fast share
    /// one.
    milliseconds fetchPause{250};
    milliseconds answerTimeout{1000}; ///< beyond the wait; the store answers in 4 ms
    /// After a failed call; doubled by each further one, and up to as much again by chance: when
    /// all nodes start at once they would else ask together again and again.
    milliseconds firstBackoff{150};
    milliseconds maxBackoff{1000};
};

/// Gives options with which a configuration is in force within `bound` of its publication also on
/// nodes whose readers have just been cut off from the store.
[[nodiscard]] store_options storeOptionsFor(milliseconds bound);

} // namespace orchidlead::gateway
