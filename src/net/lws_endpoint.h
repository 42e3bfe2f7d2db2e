#pragma once

#include <libwebsockets.h>

#include <cstddef>

namespace orchidlead::net {

/// Receives the libwebsockets events of one socket.
///
/// It is bound to its `lws` through the opaque user pointer, and unbinds itself before destruction.
class lws_endpoint
{
public:
    virtual ~lws_endpoint() = default;

    /// Returns nonzero to make libwebsockets close the socket.
    virtual int onEvent(lws *wsi, lws_callback_reasons reason, void *in, std::size_t length) = 0;

    /// Called on a connection for the first event of a stream that libwebsockets opened on it.
    /// Returns the endpoint of the stream, or null.
    virtual lws_endpoint *adoptStream(lws *stream)
    {
        static_cast<void>(stream);
        return nullptr;
    }
};

/// Closes the socket in the next iteration of the loop; the endpoint still receives events.
inline void closeSoon(lws *wsi)
{
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

/// Unbinds the endpoint and closes the socket: at once, or, inside an event of the same socket, in
/// the next iteration of the loop.
inline void detachAndClose(lws *wsi, bool insideItsEvent)
{
    lws_set_opaque_user_data(wsi, nullptr);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE,
                    insideItsEvent ? LWS_TO_KILL_ASYNC : LWS_TO_KILL_SYNC);
}

} // namespace orchidlead::net
