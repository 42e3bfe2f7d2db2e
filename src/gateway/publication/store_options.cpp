#include "gateway/publication/store_options.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// From the moment at which a reader knows that it hears nothing until its followers have read the
// store by themselves: a message, a connection, a call that may be refused once.
constexpr milliseconds FollowersRead{600};
// Beyond this a longer silence spares few calls, and hides lapsed servers for long.
constexpr milliseconds MaxSilence{3400};

} // namespace

store_options storeOptionsFor(milliseconds bound)
{
    store_options options;
    options.silence = std::clamp(bound - FollowersRead, options.silence, MaxSilence);
    // Two watches that bring nothing, or one and an answer of a slow store.
    options.relayedWait = options.silence / 2;
    options.watchWait = std::max(options.watchWait, options.relayedWait);
    return options;
}

} // namespace orchidlead::gateway
