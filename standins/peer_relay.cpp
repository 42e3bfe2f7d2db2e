#include "standins/peer_relay.h"

#include "standins/socket_owner.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace orchidlead::standins {

namespace {

constexpr int PollMillis = 20;
constexpr std::size_t TransferBytes = 64U << 10U;
constexpr int DatagramsAtOnce = 64;

/// Owns a file descriptor.
class descriptor
{
public:
    explicit descriptor(int number = -1)
        : m_number(number)
    { }
    descriptor(descriptor &&other) noexcept
        : m_number(std::exchange(other.m_number, -1))
    { }
    descriptor &operator=(descriptor &&other) noexcept
    {
        std::swap(m_number, other.m_number);
        return *this;
    }
    ~descriptor()
    {
        if (m_number >= 0)
            ::close(m_number);
    }

    [[nodiscard]] int get() const { return m_number; }
    [[nodiscard]] bool open() const { return m_number >= 0; }

private:
    int m_number;
};

sockaddr_in toSystem(const socket_address &address)
{
    sockaddr_in system{};
    system.sin_family = AF_INET;
    system.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.ip.c_str(), &system.sin_addr);
    return system;
}

socket_address fromSystem(const sockaddr_in &system)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &system.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(system.sin_port)};
}

template <class Call>
auto withAddress(const socket_address &address, Call call)
{
    const sockaddr_in system = toSystem(address);
    return call(reinterpret_cast<const sockaddr *>(&system), socklen_t{sizeof system});
}

descriptor makeSocket(int type)
{
    return descriptor(::socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

bool bindTo(const descriptor &socket, const socket_address &address)
{
    return withAddress(address,
                       [&socket](const sockaddr *system, socklen_t length) {
                           return ::bind(socket.get(), system, length);
                       })
        == 0;
}

socket_address nameOf(const descriptor &socket)
{
    sockaddr_in system{};
    socklen_t length = sizeof system;
    ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&system), &length);
    return fromSystem(system);
}

/// One direction of a connection: bytes that were read and are not yet written.
class half_link
{
public:
    /// Moves what can be moved; false once nothing more will come or can be written.
    bool move(int from, int to)
    {
        if (m_pending.empty() && !m_ended)
            readFrom(from);
        return writeTo(to);
    }

    /// Tells whether the reader's end is to be polled for input.
    [[nodiscard]] bool wantsInput() const { return m_pending.empty() && !m_ended; }
    [[nodiscard]] bool wantsOutput() const { return !m_pending.empty(); }

private:
    void readFrom(int from)
    {
        std::array<char, TransferBytes> buffer;
        const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
        if (count > 0)
            m_pending.assign(buffer.data(), static_cast<std::size_t>(count));
        else if (count == 0 || (errno != EAGAIN && errno != EINTR))
            m_ended = true;
    }

    bool writeTo(int to)
    {
        if (!m_pending.empty()) {
            const ssize_t count = ::send(to, m_pending.data(), m_pending.size(), MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
                return false;
            m_pending.erase(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        }
        if (m_ended && m_pending.empty() && !std::exchange(m_closed, true))
            ::shutdown(to, SHUT_WR);
        return true;
    }

    std::string m_pending;
    bool m_ended = false;
    bool m_closed = false;

public:
    [[nodiscard]] bool closed() const { return m_closed; }
};

std::pair<std::string, std::string> inOrder(const std::string &one, const std::string &other)
{
    return std::minmax(one, other);
}

} // namespace

struct peer_relay::endpoint
{
    relay_node node;
    descriptor datagrams;
    descriptor connections;
};

struct peer_relay::link
{
    std::string from;
    std::string to;
    descriptor caller;
    descriptor called;
    half_link forth;
    half_link back;
    bool hanging = false; ///< was cut once; closed when the links are whole again
    bool over = false;
    std::uint64_t heals = 0;
};

peer_relay::peer_relay() = default;

result<std::unique_ptr<peer_relay>, relay_error> peer_relay::create(std::vector<relay_node> nodes)
{
    std::unique_ptr<peer_relay> relay(new peer_relay);
    const auto opened = relay->open(std::move(nodes));
    if (!opened)
        return opened.error();
    relay->m_thread = std::thread([self = relay.get()] { self->run(); });
    return relay;
}

peer_relay::~peer_relay()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    if (m_thread.joinable())
        m_thread.join();
}

// The system picks a TCP port; the UDP port must have the same number, so others are tried.
result<void, relay_error> peer_relay::open(std::vector<relay_node> nodes)
{
    constexpr int Tries = 100;
    for (relay_node &node : nodes) {
        auto opened = std::make_unique<endpoint>();
        for (int i = 0; i < Tries && !opened->datagrams.open(); ++i) {
            opened->connections = makeSocket(SOCK_STREAM);
            if (!bindTo(opened->connections, {"127.0.0.1", 0}))
                break;
            node.listed = nameOf(opened->connections);
            descriptor datagrams = makeSocket(SOCK_DGRAM);
            if (bindTo(datagrams, node.listed))
                opened->datagrams = std::move(datagrams);
        }
        if (!opened->datagrams.open() || ::listen(opened->connections.get(), SOMAXCONN) != 0)
            return relay_error{std::string("no port: ") + std::strerror(errno)};
        opened->node = std::move(node);
        m_endpoints.push_back(std::move(opened));
    }
    return success();
}

socket_address peer_relay::listed(const std::string &name) const
{
    for (const auto &one : m_endpoints) {
        if (one->node.name == name)
            return one->node.listed;
    }
    return {};
}

void peer_relay::setProcess(const std::string &name, pid_t pid)
{
    const std::lock_guard lock(m_mutex);
    m_processes[name] = pid;
}

void peer_relay::cut(const std::string &one, const std::string &other)
{
    const std::lock_guard lock(m_mutex);
    m_cuts.insert(inOrder(one, other));
}

void peer_relay::heal()
{
    const std::lock_guard lock(m_mutex);
    m_cuts.clear();
    ++m_heals;
}

peer_relay::counts peer_relay::counted() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

bool peer_relay::isCut(const std::string &one, const std::string &other) const
{
    const std::lock_guard lock(m_mutex);
    return m_cuts.contains(inOrder(one, other));
}

peer_relay::endpoint *peer_relay::findByReal(const socket_address &address)
{
    const auto found = std::find_if(
        m_endpoints.begin(), m_endpoints.end(),
        [&address](const std::unique_ptr<endpoint> &one) { return one->node.real == address; });
    return found == m_endpoints.end() ? nullptr : found->get();
}

void peer_relay::run()
{
    while (!stopping()) {
        waitForInput();
        for (const auto &one : m_endpoints) {
            forwardDatagrams(*one);
            acceptLink(*one);
        }
        for (const auto &one : m_links)
            pump(*one);
        std::erase_if(m_links, [](const std::unique_ptr<link> &one) { return one->over; });
    }
}

bool peer_relay::stopping() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopping;
}

void peer_relay::waitForInput() const
{
    std::vector<pollfd> polled;
    const auto add = [&polled](const descriptor &socket, bool in, bool out) {
        const int events = (in ? POLLIN : 0) | (out ? POLLOUT : 0);
        polled.push_back({socket.get(), static_cast<short>(events), 0});
    };
    for (const auto &one : m_endpoints) {
        add(one->datagrams, true, false);
        add(one->connections, true, false);
    }
    for (const auto &one : m_links) {
        if (one->hanging)
            continue;
        add(one->caller, one->forth.wantsInput(), one->back.wantsOutput());
        add(one->called, one->back.wantsInput(), one->forth.wantsOutput());
    }
    ::poll(polled.data(), polled.size(), PollMillis);
}

void peer_relay::forwardDatagrams(endpoint &to)
{
    std::array<char, TransferBytes> buffer;
    for (int i = 0; i < DatagramsAtOnce; ++i) {
        sockaddr_in source{};
        socklen_t length = sizeof source;
        const ssize_t count = ::recvfrom(to.datagrams.get(), buffer.data(), buffer.size(), 0,
                                         reinterpret_cast<sockaddr *>(&source), &length);
        if (count < 0)
            return;
        const endpoint *from = findByReal(fromSystem(source));
        const bool passes = from != nullptr && !isCut(from->node.name, to.node.name);
        if (passes)
            withAddress(to.node.real, [&](const sockaddr *system, socklen_t size) {
                return ::sendto(from->datagrams.get(), buffer.data(),
                                static_cast<std::size_t>(count), 0, system, size);
            });
        const std::lock_guard lock(m_mutex);
        ++(passes ? m_counts.datagrams : m_counts.dropped);
        m_counts.unknownSenders += from == nullptr ? 1 : 0;
    }
}

std::string peer_relay::ownerOf(const socket_address &source, const socket_address &target)
{
    const auto socket = findSocket(source, target);
    if (!socket)
        return {};
    std::map<std::string, pid_t> processes;
    {
        const std::lock_guard lock(m_mutex);
        processes = m_processes;
    }
    for (const auto &[name, pid] : processes) {
        if (hasSocket(pid, *socket))
            return name;
    }
    return {};
}

void peer_relay::acceptLink(endpoint &to)
{
    sockaddr_in source{};
    socklen_t length = sizeof source;
    descriptor caller(::accept4(to.connections.get(), reinterpret_cast<sockaddr *>(&source),
                                &length, SOCK_CLOEXEC | SOCK_NONBLOCK));
    if (!caller.open())
        return;
    auto accepted = std::make_unique<link>();
    accepted->from = ownerOf(fromSystem(source), to.node.listed);
    accepted->to = to.node.name;
    accepted->caller = std::move(caller);
    accepted->called = makeSocket(SOCK_STREAM);
    accepted->hanging = isCut(accepted->from, accepted->to);
    if (!accepted->hanging) {
        const int done =
            withAddress(to.node.real, [&accepted](const sockaddr *system, socklen_t size) {
                return ::connect(accepted->called.get(), system, size);
            });
        accepted->over = done != 0 && errno != EINPROGRESS;
    }
    const std::lock_guard lock(m_mutex);
    accepted->heals = m_heals;
    ++(accepted->hanging ? m_counts.dropped : m_counts.connections);
    m_counts.unknownSenders += accepted->from.empty() ? 1 : 0;
    m_links.push_back(std::move(accepted));
}

void peer_relay::pump(link &one)
{
    one.hanging = one.hanging || isCut(one.from, one.to);
    if (one.hanging) {
        const std::lock_guard lock(m_mutex);
        one.over = one.heals != m_heals;
        return;
    }
    const bool forth = one.forth.move(one.caller.get(), one.called.get());
    const bool back = one.back.move(one.called.get(), one.caller.get());
    one.over = one.over || !forth || !back || (one.forth.closed() && one.back.closed());
}

} // namespace orchidlead::standins
