#include "cut_link.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <utility>

namespace orchidlead::platform_world {

namespace {

constexpr std::uint16_t AnyPort = 0;
/// An address on which nothing listens.
const socket_address ClosedAddress{"127.0.0.1", 1};

} // namespace

/// Passes bytes between a gateway's connection and one to the server.
class cut_link::pipe : public std::enable_shared_from_this<pipe>
{
public:
    pipe(http::io_loop &loop, std::shared_ptr<http::stream_socket> gateway,
         const socket_address &server)
    {
        for (std::size_t i = 0; i < m_sides.size(); ++i)
            m_sides[i].attach(*this, i);
        m_sides[0].socket = std::move(gateway);
        m_server = server;
        m_loop = &loop;
    }

    void start()
    {
        m_self = shared_from_this();
        m_sides[0].connected = true;
        m_sides[0].socket->start(m_sides[0]);
        m_sides[1].socket = http::stream_socket::connect(*m_loop, m_server, m_sides[1]);
    }
    void hold(bool held)
    {
        m_held = held;
        flush();
    }
    /// Delivers no further bytes to the server, but all of its answers to earlier ones.
    void holdRequests(bool held)
    {
        m_requestsHeld = held;
        flush();
    }
    void reset() { end(false); }

private:
    struct side final : http::stream_events
    {
        void attach(pipe &parent, std::size_t number)
        {
            owner = &parent;
            index = number;
        }
        void onConnected() override
        {
            connected = true;
            owner->flush();
        }
        void onBytes(std::string_view bytes) override
        {
            owner->other(index).pending.append(bytes);
            owner->flush();
        }
        void onEnd(bool orderly) override
        {
            ended = true;
            endedInOrder = orderly;
            owner->flush();
        }

        pipe *owner = nullptr;
        std::size_t index = 0;
        std::shared_ptr<http::stream_socket> socket;
        std::string pending; ///< bytes to be written to this side
        bool connected = false;
        bool ended = false;
        bool endedInOrder = false;
    };

    void end(bool inOrder)
    {
        const auto self = std::exchange(m_self, nullptr);
        for (auto &each : m_sides) {
            const auto socket = std::exchange(each.socket, nullptr);
            if (!socket)
                continue;
            if (inOrder)
                socket->close();
            else
                socket->reset();
        }
    }

    side &other(std::size_t index) { return m_sides[1 - index]; }

    void flush()
    {
        if (m_held || !m_self)
            return;
        for (auto &each : m_sides) {
            const bool isHeld = m_requestsHeld && each.index == 1;
            if (each.connected && each.socket && !each.pending.empty() && !isHeld)
                each.socket->write(std::exchange(each.pending, {}));
        }
        for (auto &each : m_sides) {
            if (!each.ended || m_requestsHeld)
                continue;
            end(each.endedInOrder);
            return;
        }
    }

    std::array<side, 2> m_sides; ///< gateway, server
    socket_address m_server;
    http::io_loop *m_loop = nullptr;
    std::shared_ptr<pipe> m_self;
    bool m_held = false;
    bool m_requestsHeld = false;
};

/// Listens in place of one server.
class cut_link::proxy
{
public:
    proxy(cut_link &owner, const socket_address &server)
    {
        auto made = http::acceptor::create(
            owner.m_loop, {"127.0.0.1", AnyPort},
            [&owner, server](std::shared_ptr<http::stream_socket> socket) {
                const auto opened = std::make_shared<pipe>(owner.m_loop, std::move(socket), server);
                owner.m_pipes.push_back(opened);
                opened->start();
                // A program in another process opens its connections itself, also during a cut.
                if (owner.m_cut)
                    applyCut(*opened, *owner.m_cut);
            });
        REQUIRE(made);
        m_acceptor = std::move(made).value();
    }
    [[nodiscard]] socket_address address() const { return {"127.0.0.1", m_acceptor->port()}; }

private:
    std::unique_ptr<http::acceptor> m_acceptor;
};

cut_link::cut_link(http::io_loop &loop)
    : m_loop(loop)
{ }

cut_link::~cut_link()
{
    for (const auto &weak : m_pipes) {
        if (const auto each = weak.lock())
            each->reset();
    }
}

http::connect_function cut_link::opener()
{
    return [this](http::io_loop &loop, const socket_address &to, http::stream_events &events) {
        return open(loop, to, events);
    };
}

std::shared_ptr<http::stream_socket> cut_link::open(http::io_loop &loop, const socket_address &to,
                                                    http::stream_events &events)
{
    if (m_excepted.contains(to.port))
        return http::stream_socket::connect(loop, to, events);
    if (m_cut == cut_kind::Reset || m_cut == cut_kind::RefuseNew)
        return http::stream_socket::connect(loop, ClosedAddress, events);
    if (m_cut) // a socket that never connects
        return std::make_shared<http::stream_socket>(boost::asio::ip::tcp::socket(loop.context()));
    return http::stream_socket::connect(loop, addressFor(to), events);
}

socket_address cut_link::addressFor(const socket_address &to)
{
    return proxyFor(to).address();
}

cut_link::proxy &cut_link::proxyFor(const socket_address &to)
{
    auto &there = m_proxies[to];
    if (!there)
        there = std::make_unique<proxy>(*this, to);
    return *there;
}

void cut_link::applyCut(pipe &cutOff, cut_kind kind)
{
    if (kind == cut_kind::Reset || kind == cut_kind::RefuseNew)
        cutOff.reset();
    else if (kind == cut_kind::Hang)
        cutOff.hold(true);
    else
        cutOff.holdRequests(true);
}

void cut_link::cut(cut_kind kind)
{
    m_cut = kind;
    const auto pipes = m_pipes;
    for (const auto &weak : pipes) {
        const auto each = weak.lock();
        if (each && kind != cut_kind::RefuseNew)
            applyCut(*each, kind);
    }
}

void cut_link::heal()
{
    m_cut.reset();
    for (const auto &weak : m_pipes) {
        if (const auto each = weak.lock()) {
            each->hold(false);
            each->holdRequests(false);
        }
    }
}

} // namespace orchidlead::platform_world
