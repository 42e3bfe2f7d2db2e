#pragma once

#include "net/http_server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace orchidlead::net {

/// Where the parts of an answer go: a connection of HTTP/1.1, or a stream of HTTP/2.
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    virtual void sendWhole(int status, const header_list &headers, std::string_view body) = 0;
    virtual void sendHead(int status, const header_list &headers) = 0;
    virtual void sendPart(std::string_view bytes) = 0;
    virtual void sendEnd() = 0;
    /// The last holder of the answer let it go unfinished.
    virtual void dropped() = 0;
    [[nodiscard]] virtual std::size_t queuedBytes() const = 0;
};

/// The handle that the users of an answer hold. Its connection may be gone already.
class connection_response final : public response_writer
{
public:
    explicit connection_response(std::weak_ptr<answer_sink> connection);
    ~connection_response() override;
    connection_response(const connection_response &) = delete;
    connection_response &operator=(const connection_response &) = delete;

    void respond(int status, const header_list &headers, std::string body) override;
    void begin(int status, const header_list &headers) override;
    void write(std::string chunk) override;
    void finish() override;
    [[nodiscard]] bool open() const override { return !m_over && !m_connection.expired(); }
    [[nodiscard]] std::size_t queuedBytes() const override;
    void onDrained(std::function<void()> handler) override;
    void onClosed(std::function<void()> handler) override;

    /// The queue has become empty.
    void drained();
    /// Everything was sent.
    void sent();
    /// The connection ended before that.
    void closed();

private:
    /// How far the user has come.
    enum class stage { Unanswered, Begun, Finished };

    std::weak_ptr<answer_sink> m_connection;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    stage m_stage = stage::Unanswered;
    bool m_over = false; ///< sent or closed
};

} // namespace orchidlead::net
