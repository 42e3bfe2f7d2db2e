#pragma once

#include <libwebsockets.h>

#include <cstddef>

namespace orchidlead::net {

/// Receives the libwebsockets events of one socket.
///
/// It is bound to its `lws` through the opaque user pointer, and unbinds itself before it dies.
class lws_endpoint
{
public:
    virtual ~lws_endpoint() = default;

    /// Returns nonzero to have libwebsockets close the socket.
    virtual int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) = 0;

    /// Called on a connection for the first event of a stream that libwebsockets opened on it;
    /// gives the stream's endpoint, or null.
    virtual lws_endpoint *adoptStream(lws *stream)
    {
        static_cast<void>(stream);
        return nullptr;
    }
};

/// Has the socket closed in the next round; events still reach the endpoint.
inline void closeSoon(lws *wsi)
{
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

/// Stops events from reaching the endpoint and has the socket closed: at once, or, from inside an
/// event of that same socket, in the next round.
inline void abandon(lws *wsi, bool insideItsEvent)
{
    lws_set_opaque_user_data(wsi, nullptr);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                    insideItsEvent ? LWS_TO_KILL_ASYNC : LWS_TO_KILL_SYNC);
}

} // namespace orchidlead::net
