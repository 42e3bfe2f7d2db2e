#pragma once

#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// Sends the parts of a response: an HTTP/1.1 connection or an HTTP/2 stream.
class response_sink
{
public:
    virtual ~response_sink() = default;
    virtual void sendWhole(int status, const header_list &headers, std::string_view body) = 0;
    virtual void sendHead(int status, const header_list &headers) = 0;
    virtual void sendPart(std::string_view bytes) = 0;
    virtual void sendEnd() = 0;
    /// The response writer was destroyed before the response was finished.
    virtual void onWriterReleased() = 0;
    [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
};

/// The response writer passed to request handlers. It may outlive its connection.
class connection_response final : public response_writer
{
public:
    explicit connection_response(std::weak_ptr<response_sink> connection);
    ~connection_response() override;
    connection_response(const connection_response &) = delete;
    connection_response &operator=(const connection_response &) = delete;

    void respond(int status, const header_list &headers, std::string body) override;
    void begin(int status, const header_list &headers) override;
    void write(std::string chunk) override;
    void finish() override;
    [[nodiscard]] bool open() const override { return !m_ended && !m_connection.expired(); }
    [[nodiscard]] std::size_t queuedBytes() const override;
    void onDrained(std::function<void()> handler) override;
    void onClosed(std::function<void()> handler) override;

    /// Called when the send queue has become empty.
    void onQueueDrained();
    /// Called when the whole response has been sent.
    void onSent();
    /// Called when the connection ends before the whole response has been sent.
    void onConnectionClosed();

private:
    /// How much of the response the handler has written.
    enum class write_state { Unanswered, Begun, Finished };

    std::weak_ptr<response_sink> m_connection;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    write_state m_state = write_state::Unanswered;
    bool m_ended = false; ///< sent or closed
};

} // namespace orchidlead::net
