#include "gateway/publication/store_options.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Time from the moment at which a reader detects that the store is silent until its followers have
// read the store themselves: a message, a connection, and a call that may be refused once.
constexpr milliseconds FollowerReadTime{600};
// A longer timeout would save few calls and keep expired servers in use for longer.
constexpr milliseconds MaxSilenceTimeout{3400};

} // namespace

store_options storeOptionsFor(milliseconds bound)
{
    store_options options;
    options.silenceTimeout =
        std::clamp(bound - FollowerReadTime, options.silenceTimeout, MaxSilenceTimeout);
    // The silence timeout covers two watches without changes, or one watch and an answer of a slow
    // store.
    options.watchWaitWithFollowers = options.silenceTimeout / 2;
    options.watchWait = std::max(options.watchWait, options.watchWaitWithFollowers);
    return options;
}

} // namespace orchidlead::gateway
