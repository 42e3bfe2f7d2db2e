// Stand-ins for the cases of the second review: a store, servers, clients and a starter of
// gateways, on one event loop and the real clock. Loopback addresses only. Needs the C++ library
// alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lab {

using clock = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int Held = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

inline void (*onFailure)() = nullptr;

[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    if (onFailure)
        onFailure();
    std::_Exit(CouldNotRun);
}

// ---- record of what was sent, answered and run

inline clock::time_point &startTime()
{
    static clock::time_point at = clock::now();
    return at;
}

inline FILE *&recordFile()
{
    static FILE *file = nullptr;
    return file;
}

__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
    if (!recordFile())
        return;
    const std::chrono::duration<double> at = clock::now() - startTime();
    std::fprintf(recordFile(), "%8.3f ", at.count());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile(), format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile());
    std::fflush(recordFile());
}

// ---- event loop

class loop
{
public:
    loop()
        : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    { }

    void watch(int fd, std::uint32_t events, std::function<void(std::uint32_t)> handler)
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        const bool known = m_handlers.contains(fd);
        m_handlers[fd] = std::make_shared<std::function<void(std::uint32_t)>>(std::move(handler));
        ::epoll_ctl(m_epoll, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
    }
    void change(int fd, std::uint32_t events)
    {
        epoll_event event{};
        event.events = events;
        event.data.fd = fd;
        ::epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
    }
    void forget(int fd)
    {
        if (m_handlers.erase(fd) > 0)
            ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
    void after(ms delay, std::function<void()> task)
    {
        m_timers.emplace(clock::now() + delay, std::move(task));
    }
    void stop() { m_stopped = true; }
    void run()
    {
        m_stopped = false;
        while (!m_stopped)
            step();
    }
    /// Runs until the condition holds; returns whether it did within the time.
    bool runUntil(ms limit, const std::function<bool()> &done)
    {
        const auto end = clock::now() + limit;
        while (!done()) {
            if (clock::now() >= end)
                return false;
            step();
        }
        return true;
    }
    void runFor(ms time)
    {
        runUntil(time, [] { return false; });
    }

private:
    void step()
    {
        int wait = 10;
        if (!m_timers.empty()) {
            const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
                m_timers.begin()->first - clock::now());
            wait = static_cast<int>(std::clamp<std::int64_t>((left.count() + 999) / 1000, 0, 10));
        }
        epoll_event events[64];
        const int count = ::epoll_wait(m_epoll, events, 64, wait);
        for (int i = 0; i < count; ++i) {
            const auto found = m_handlers.find(events[i].data.fd);
            if (found == m_handlers.end())
                continue;
            const auto handler = found->second;
            (*handler)(events[i].events);
        }
        while (!m_timers.empty() && m_timers.begin()->first <= clock::now()) {
            auto task = std::move(m_timers.begin()->second);
            m_timers.erase(m_timers.begin());
            task();
        }
    }

    int m_epoll;
    bool m_stopped = false;
    std::map<int, std::shared_ptr<std::function<void(std::uint32_t)>>> m_handlers;
    std::multimap<clock::time_point, std::function<void()>> m_timers;
};

// ---- sockets

struct endpoint
{
    std::string ip = "127.0.0.1";
    int port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const endpoint &at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    ::inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

/// A TCP connection. Owned by its handlers through shared pointers.
class conn : public std::enable_shared_from_this<conn>
{
public:
    conn(loop &l, int fd)
        : m_loop(l)
        , m_fd(fd)
    { }
    ~conn() { close(); }

    std::function<void()> onData; ///< bytes were appended to `in`
    std::function<void(bool orderly)> onClosed;
    std::string in;
    std::size_t readAtOnce = 65536;

    void start()
    {
        int yes = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        m_keep = shared_from_this();
        m_loop.watch(m_fd, EPOLLIN, [this](std::uint32_t events) { onEvents(events); });
    }
    void write(std::string_view bytes)
    {
        if (m_fd < 0)
            return;
        m_out.append(bytes);
        flush();
    }
    void setReading(bool reading)
    {
        m_reading = reading;
        update();
    }
    /// Closes in order once everything is written.
    void closeAfterWrite()
    {
        m_closeAfter = true;
        flush();
    }
    void close()
    {
        if (m_fd < 0)
            return;
        m_loop.forget(m_fd);
        ::close(m_fd);
        m_fd = -1;
        m_loop.after(ms{0}, [kept = std::exchange(m_keep, nullptr)] {});
    }
    void reset()
    {
        linger l{1, 0};
        if (m_fd >= 0)
            ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
        close();
    }
    [[nodiscard]] bool open() const { return m_fd >= 0; }

private:
    void update()
    {
        if (m_fd >= 0)
            m_loop.change(m_fd, (m_reading ? EPOLLIN : 0U) | (m_out.empty() ? 0U : EPOLLOUT));
    }
    void flush()
    {
        while (m_fd >= 0 && !m_out.empty()) {
            const auto sent = ::send(m_fd, m_out.data(), m_out.size(), MSG_NOSIGNAL);
            if (sent < 0 && errno == EAGAIN)
                break;
            if (sent < 0) {
                end(false);
                return;
            }
            m_out.erase(0, static_cast<std::size_t>(sent));
        }
        if (m_fd >= 0 && m_out.empty() && m_closeAfter) {
            close();
            return;
        }
        update();
    }
    void end(bool orderly)
    {
        const auto self = shared_from_this();
        const auto handler = std::exchange(onClosed, {});
        close();
        if (handler)
            handler(orderly);
    }
    void onEvents(std::uint32_t events)
    {
        const auto self = shared_from_this();
        if (events & EPOLLOUT)
            flush();
        if (m_fd < 0 || !(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
            return;
        if (!m_reading && !(events & EPOLLERR))
            return;
        std::string buffer(readAtOnce, '\0');
        const auto count = ::recv(m_fd, buffer.data(), buffer.size(), 0);
        if (count < 0 && errno == EAGAIN)
            return;
        if (count <= 0) {
            end(count == 0);
            return;
        }
        in.append(buffer.data(), static_cast<std::size_t>(count));
        if (const auto handler = onData)
            handler();
    }

    loop &m_loop;
    int m_fd;
    bool m_reading = true;
    bool m_closeAfter = false;
    std::string m_out;
    std::shared_ptr<conn> m_keep;
};
using conn_ptr = std::shared_ptr<conn>;

inline int listenAt(endpoint &at)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int yes = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto address = toSockaddr(at);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(fd, 1024) != 0)
        cannotRun("no free address at " + at.text());
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    at.port = ntohs(address.sin_port);
    return fd;
}

/// Returns a port that is free at this address for TCP.
inline int freePort(const std::string &ip)
{
    endpoint at{ip, 0};
    const int fd = listenAt(at);
    ::close(fd);
    return at.port;
}

inline void acceptAt(loop &l, int fd, std::function<void(conn_ptr)> onAccept)
{
    l.watch(fd, EPOLLIN, [&l, fd, onAccept = std::move(onAccept)](std::uint32_t) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0)
            onAccept(std::make_shared<conn>(l, accepted));
    });
}

/// Connects; writes wait in the kernel until the connection is open. `receiveBuffer` 0: the
/// default.
inline conn_ptr connectTo(loop &l, const endpoint &to, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    auto address = toSockaddr(to);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
    return std::make_shared<conn>(l, fd);
}

// ---- HTTP/1.1

struct message
{
    std::string first; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (const auto &[key, value] : fields) {
            if (key.size() == name.size()
                && ::strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        }
        return {};
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream words(first);
        std::string found;
        for (int i = 0; i <= index; ++i)
            words >> found;
        return found;
    }
    [[nodiscard]] std::string method() const { return word(0); }
    [[nodiscard]] std::string target() const { return word(1); }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
};

/// Takes one whole message from the front of the bytes; `untilClose`: an answer without a length is
/// whole now. Returns whether there was one.
inline bool takeMessage(std::string &bytes, message &out, bool untilClose = false)
{
    const auto headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return false;
    message read;
    std::istringstream lines(bytes.substr(0, headEnd + 2));
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (read.first.empty()) {
            read.first = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto begin = line.find_first_not_of(" \t", colon + 1);
        read.fields.emplace_back(line.substr(0, colon),
                                 begin == std::string::npos ? "" : line.substr(begin));
    }
    std::size_t at = headEnd + 4;
    if (read.field("transfer-encoding") == "chunked") {
        for (;;) {
            const auto end = bytes.find("\r\n", at);
            if (end == std::string::npos)
                return false;
            const auto size = std::strtoul(bytes.c_str() + at, nullptr, 16);
            if (bytes.size() < end + 2 + size + 2)
                return false;
            read.body.append(bytes, end + 2, size);
            at = end + 2 + size + 2;
            if (size == 0)
                break;
        }
    } else if (const auto length = read.field("content-length"); !length.empty()) {
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        if (bytes.size() < at + size)
            return false;
        read.body = bytes.substr(at, size);
        at += size;
    } else if (read.first.starts_with("HTTP/") && read.status() != 204) {
        if (!untilClose)
            return false;
        read.body = bytes.substr(at);
        at = bytes.size();
    }
    bytes.erase(0, at);
    out = std::move(read);
    return true;
}

inline std::string answerText(int status,
                              const std::vector<std::pair<std::string, std::string>> &fields,
                              std::string_view body)
{
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Error") + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

/// Serves one request at a time on each connection.
class http_server
{
public:
    using handler = std::function<void(const message &, const conn_ptr &)>;

    http_server(loop &l, std::string ip, handler onRequest)
        : m_loop(l)
        , m_onRequest(std::move(onRequest))
    {
        m_at.ip = std::move(ip);
        m_fd = listenAt(m_at);
        acceptAt(l, m_fd, [this](const conn_ptr &client) {
            std::erase_if(m_conns, [](const auto &weak) { return weak.expired(); });
            m_conns.push_back(client);
            auto *raw = client.get();
            client->onData = [this, raw] {
                const auto self = raw->shared_from_this();
                message request;
                while (raw->open() && takeMessage(raw->in, request))
                    m_onRequest(request, self);
            };
            client->start();
        });
    }
    [[nodiscard]] const endpoint &at() const { return m_at; }
    [[nodiscard]] std::vector<conn_ptr> connections() const
    {
        std::vector<conn_ptr> open;
        for (const auto &weak : m_conns) {
            if (auto each = weak.lock(); each && each->open())
                open.push_back(std::move(each));
        }
        return open;
    }
    /// Ends like a process that exits: refuses connections and resets those that are open.
    void end()
    {
        m_loop.forget(m_fd);
        ::close(m_fd);
        for (const auto &weak : std::exchange(m_conns, {})) {
            if (const auto each = weak.lock())
                each->reset();
        }
    }

private:
    loop &m_loop;
    endpoint m_at;
    int m_fd = -1;
    std::vector<std::weak_ptr<conn>> m_conns;
    handler m_onRequest;
};

// ---- the platform's store

inline std::string base64(std::string_view text)
{
    constexpr char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits =
                bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > text.size() ? '=' : Digits[bits >> (18 - 6 * k) & 63U];
    }
    return out;
}

inline std::string queryField(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    if (question == std::string::npos)
        return {};
    std::istringstream parts(target.substr(question + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    }
    return {};
}

/// The platform's store: items, ranges and watches, with one counter of revisions.
class store
{
public:
    explicit store(loop &l)
        : m_loop(l)
        , m_server(l, "127.0.0.1",
                   [this](const message &request, const conn_ptr &to) { onRequest(request, to); })
    { }

    [[nodiscard]] const endpoint &at() const { return m_server.at(); }
    void put(const std::string &key, const std::string &value)
    {
        const auto created = m_items.contains(key) ? m_items[key].created : m_revision + 1;
        m_items[key] = {value, ++m_revision, created};
        m_events.push_back({m_revision, key, itemText(key)});
        wake();
    }
    /// Closes the connections of all waiting watches. Returns how many there were.
    std::size_t cutWatches()
    {
        const auto cut = std::exchange(m_watchers, {});
        for (const auto &each : cut)
            each.to->close();
        return cut.size();
    }
    /// From now on nothing comes on the connections that are open, without a reset; new ones work.
    std::size_t goSilent()
    {
        m_watchers.clear();
        const auto open = m_server.connections();
        for (const auto &each : open)
            m_silent.insert(each);
        return open.size();
    }
    void remove(const std::string &key)
    {
        m_items.erase(key);
        ++m_revision;
        m_events.push_back({m_revision, key,
                            R"({"key":")" + key + R"(","revision":)" + std::to_string(m_revision)
                                + R"(,"deleted":true})"});
        wake();
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change
    {
        std::uint64_t revision;
        std::string key;
        std::string text;
    };
    struct watcher
    {
        conn_ptr to;
        std::string prefix;
        std::uint64_t after;
        std::uint64_t id;
    };

    [[nodiscard]] std::string itemText(const std::string &key) const
    {
        const auto &each = m_items.at(key);
        return R"({"key":")" + key + R"(","value":")" + base64(each.value) + R"(","revision":)"
            + std::to_string(each.revision) + R"(,"created":)" + std::to_string(each.created)
            + R"(,"lease":0})";
    }
    [[nodiscard]] static std::string json(const std::string &body)
    {
        return answerText(200, {{"Content-Type", "application/json"}}, body);
    }
    [[nodiscard]] std::string revisionText() const
    {
        return R"("store_revision":)" + std::to_string(m_revision) + "}";
    }
    bool answerWatch(const watcher &each, bool evenEmpty)
    {
        std::string events;
        for (const auto &event : m_events) {
            if (event.revision > each.after && event.key.starts_with(each.prefix))
                events += (events.empty() ? "" : ",") + event.text;
        }
        if (events.empty() && !evenEmpty)
            return false;
        each.to->write(json(R"({"events":[)" + events + "]," + revisionText()));
        return true;
    }
    void wake()
    {
        std::erase_if(m_watchers, [&](const watcher &each) { return answerWatch(each, false); });
    }
    void onRequest(const message &request, const conn_ptr &to)
    {
        if (m_silent.contains(to))
            return;
        const auto target = request.target();
        const auto prefix = queryField(target, "path_prefix");
        const auto after = queryField(target, "after");
        if (target.starts_with("/kv-key")) {
            const auto key = queryField(target, "key");
            if (!m_items.contains(key)) {
                to->write(answerText(404, {}, ""));
                return;
            }
            auto text = itemText(key);
            text.back() = ',';
            to->write(json(text + revisionText()));
        } else if (target.starts_with("/kv-range")) {
            std::string items;
            for (const auto &[key, each] : m_items) {
                if (key.starts_with(prefix) && key > after)
                    items += (items.empty() ? "" : ",") + itemText(key);
            }
            to->write(json(R"({"items":[)" + items + R"(],"has_more":false,)" + revisionText()));
        } else if (target.starts_with("/kv-watch")) {
            const watcher made{to, prefix, std::strtoull(after.c_str(), nullptr, 10),
                               ++m_lastWatch};
            if (answerWatch(made, false))
                return;
            m_watchers.push_back(made);
            m_loop.after(ms{std::atoi(queryField(target, "wait_ms").c_str())},
                         [this, id = made.id] {
                             std::erase_if(m_watchers, [&](const watcher &each) {
                                 return each.id == id && answerWatch(each, true);
                             });
                         });
        } else {
            to->write(answerText(404, {}, ""));
        }
    }

    loop &m_loop;
    std::map<std::string, item> m_items;
    std::vector<change> m_events;
    std::vector<watcher> m_watchers;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastWatch = 0;
    std::set<conn_ptr> m_silent;
    http_server m_server;
};

// ---- gateways

/// A value of the settings file of the platform.
struct value
{
    std::string text;
    std::vector<std::pair<std::string, std::string>> entries; ///< of a list or table
};

/// Fills in a template as the platform's pages describe it.
inline std::string render(const std::string &text, const std::map<std::string, value> &fields,
                          const std::string &current = {}, const std::string &key = {},
                          bool last = true)
{
    std::string out;
    std::size_t at = 0;
    for (;;) {
        const auto open = text.find("{{", at);
        out += text.substr(at, open == std::string::npos ? open : open - at);
        if (open == std::string::npos)
            return out;
        const auto close = text.find("}}", open);
        const auto name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name[0] == '#' || name[0] == '^') {
            const auto section = name.substr(1);
            const auto endMark = "{{/" + section + "}}";
            const auto end = text.find(endMark, at);
            const auto inner = text.substr(at, end - at);
            at = end + endMark.size();
            const auto found = fields.find(section);
            const bool present = found != fields.end() && found->second.text != "false"
                && (!found->second.text.empty() || !found->second.entries.empty());
            if (name[0] == '^') {
                out += present ? "" : render(inner, fields);
            } else if (present && found->second.entries.empty()) {
                out += render(inner, fields);
            } else if (present) {
                const auto &list = found->second.entries;
                for (std::size_t i = 0; i < list.size(); ++i)
                    out +=
                        render(inner, fields, list[i].second, list[i].first, i + 1 == list.size());
            }
        } else if (name == ".") {
            out += current;
        } else if (name == "@") {
            out += key;
        } else if (name == ",") {
            out += last ? "" : ",";
        } else if (const auto found = fields.find(name); found != fields.end()) {
            out += found->second.text;
        }
    }
}

struct zone_of
{
    std::string zone;
    std::string region = "tallinn";
};

/// One process of the gateway, started as the deploy file says.
struct gateway
{
    std::string name;
    std::string zone;
    std::string ip;
    endpoint clients;
    endpoint readiness;
    endpoint peers;
    int relayPort = 0;
    pid_t pid = -1;
};

inline std::set<pid_t> &children()
{
    static std::set<pid_t> all;
    return all;
}

inline void killChildren()
{
    for (const auto pid : children()) {
        ::kill(pid, SIGCONT);
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    children().clear();
}

/// The world of a case: a store, gateways and their settings.
class world
{
public:
    world()
        : platform(l)
    {
        onFailure = [] { killChildren(); };
        ::signal(SIGPIPE, SIG_IGN);
        for (const int each : {SIGTERM, SIGINT, SIGALRM}) {
            ::signal(each, [](int) {
                killChildren();
                std::_Exit(CouldNotRun);
            });
        }
        ::alarm(118);
        startTime() = clock::now();
        const char *file = std::getenv("RECORD");
        recordFile() = std::fopen(file ? file : "record.txt", "w");
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble = !trouble || std::string(trouble) != "0";
        std::string made = "/tmp/review-case-XXXXXX";
        if (!::mkdtemp(made.data()))
            cannotRun("no temporary folder");
        folder = made;
        const char *root = std::getenv("REPOSITORY");
        repository = root ? root : ".";
    }
    ~world()
    {
        killChildren();
        const std::string command = "rm -rf '" + folder + "'";
        [[maybe_unused]] const int result = std::system(command.c_str());
    }

    /// Names a gateway and finds free ports for it. All must be named before the first is started.
    gateway &add(const std::string &name, const std::string &zone)
    {
        const auto ip = "127.0.0." + std::to_string(11 + m_gateways.size());
        auto &made = *m_gateways.emplace_back(std::make_unique<gateway>());
        made = {name, zone, ip, {ip, freePort(ip)}, {ip, freePort(ip)}, {ip, freePort(ip)}, 0, -1};
        if (m_relayPort == 0)
            m_relayPort = freePort(ip);
        made.relayPort = m_relayPort;
        return made;
    }
    void start(gateway &which, bool firstStart = true)
    {
        std::map<std::string, value> fields{
            {"node_name", {which.name, {}}},
            {"zone", {which.zone, {}}},
            {"region", {"tallinn", {}}},
            {"ip", {which.ip, {}}},
            {"limits.cpu_quota", {"0.25", {}}},
            {"bootstrap", {firstStart ? "true" : "false", {}}},
            {"listen.frontend", {which.clients.text(), {}}},
            {"listen.readiness", {which.readiness.text(), {}}},
            {"listen.control_plane", {which.peers.text(), {}}},
            {"port_range.0", {std::to_string(which.relayPort), {}}},
            {"port_range.1", {std::to_string(which.relayPort + 15), {}}},
            {"platform.address", {platform.at().text(), {}}},
            {"platform.history_s", {"20", {}}},
            {"bounds.grace_s", {"8", {}}},
            {"bounds.config_apply_ms", {"2000", {}}},
            {"bounds.retry_budget_ratio", {"0.2", {}}},
            {"bounds.retry_allowance", {"52", {}}},
            {"bounds.budget_window_s", {"10", {}}},
        };
        for (const auto *each : {"ulemiste-a", "ulemiste-b", "lasnamae", "mustamae"})
            fields["zones"].entries.emplace_back(each, "tallinn");
        for (std::size_t i = 0; i < std::min<std::size_t>(3, m_gateways.size()); ++i)
            fields["seed_nodes"].entries.emplace_back(std::to_string(i),
                                                      m_gateways[i]->peers.text());
        std::ifstream file(repository + "/deploy/settings.yaml");
        const std::string pattern{std::istreambuf_iterator<char>(file), {}};
        if (pattern.empty())
            cannotRun("no deploy/settings.yaml");
        const auto settings = folder + "/" + which.name + ".yaml";
        std::ofstream(settings) << render(pattern, fields);
        const auto log = std::getenv("KEEP_LOG")
            ? std::string(std::getenv("KEEP_LOG")) + "." + which.name
            : folder + "/" + which.name + ".log";
        const auto pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(repository.c_str()) != 0)
                std::_Exit(127);
            ::clearenv();
            ::setenv("PATH", "/usr/bin:/bin", 1);
            ::setenv("ORCHIDLEAD_NODE_FILE", settings.c_str(), 1);
            ::execl("target/orchidlead-gateway", "target/orchidlead-gateway", nullptr);
            std::_Exit(127);
        }
        which.pid = pid;
        children().insert(pid);
        record("gateway %s started", which.name.c_str());
    }
    /// Waits as the platform does until the gateway says that it is ready.
    void awaitReady(const gateway &which, ms limit = ms{15000})
    {
        const auto ready = std::make_shared<bool>(false);
        const auto end = clock::now() + limit;
        while (!*ready && clock::now() < end) {
            if (const auto probe = connectTo(l, which.readiness)) {
                auto *raw = probe.get();
                probe->onData = [raw, ready] {
                    message answer;
                    if (takeMessage(raw->in, answer))
                        *ready = answer.status() == 200;
                };
                probe->start();
                probe->write("GET /readyz HTTP/1.1\r\nHost: " + which.ip + "\r\n\r\n");
                l.runFor(ms{150});
                probe->close();
            } else {
                l.runFor(ms{100});
            }
        }
        if (!*ready)
            cannotRun("gateway " + which.name + " is not ready");
        record("gateway %s is ready", which.name.c_str());
    }
    void publish(const std::string &configuration)
    {
        platform.put("op/config", configuration);
        record("store: op/config %s", configuration.c_str());
    }
    void announce(const std::string &id, const std::string &service, const endpoint &at,
                  const std::string &zone, int slots, const std::string &phase = "ready")
    {
        platform.put("servers/" + id,
                     R"({"service":")" + service + R"(","address":")" + at.text() + R"(","zone":")"
                         + zone + R"(","version":"v1","slots":)" + std::to_string(slots)
                         + R"(,"phase":")" + phase + R"(","cold_remaining_ms":0,"sequence":)"
                         + std::to_string(++m_sequence) + "}");
        record("store: server %s of %s at %s in %s, %s", id.c_str(), service.c_str(),
               at.text().c_str(), zone.c_str(), phase.c_str());
    }
    /// Whether the process has ended by itself.
    static bool hasEnded(gateway &which)
    {
        int status = 0;
        if (which.pid < 0 || ::waitpid(which.pid, &status, WNOHANG) != which.pid)
            return false;
        children().erase(which.pid);
        which.pid = -1;
        record("gateway %s ended, status %d", which.name.c_str(), status);
        return true;
    }

    loop l;
    store platform;
    bool hasTrouble = true;
    std::string folder;
    std::string repository;

private:
    std::vector<std::unique_ptr<gateway>> m_gateways;
    int m_relayPort = 0;
    int m_sequence = 0;
};

// ---- clients

struct client_answer
{
    int status = 0; ///< 0: none
    message content;
    bool whole = false; ///< arrived completely
    bool ended = false;
    std::string bytes; ///< of an answer that isn't whole
};
using answer_ptr = std::shared_ptr<client_answer>;

/// A client with one connection, kept or new, and one request at a time on it.
class client
{
public:
    client(loop &l, endpoint to)
        : m_loop(l)
        , m_to(std::move(to))
    { }
    ~client()
    {
        if (m_conn) {
            m_conn->onClosed = {};
            m_conn->onData = {};
            m_conn->close();
        }
    }

    answer_ptr send(const std::string &text,
                    const std::function<void(const answer_ptr &)> &onEnd = {})
    {
        const auto answer = std::make_shared<client_answer>();
        if (!m_conn || !m_conn->open()) {
            m_conn = connectTo(m_loop, m_to);
            if (!m_conn) {
                answer->ended = true;
                return answer;
            }
            m_conn->start();
        }
        auto *raw = m_conn.get();
        const auto finish = [answer, onEnd] {
            if (!std::exchange(answer->ended, true) && onEnd)
                onEnd(answer);
        };
        m_conn->onData = [raw, answer, finish] {
            if (!takeMessage(raw->in, answer->content))
                return;
            answer->status = answer->content.status();
            answer->whole = true;
            finish();
        };
        m_conn->onClosed = [raw, answer, finish](bool orderly) {
            if (answer->ended)
                return;
            const bool framed = raw->in.find("\r\nContent-Length:") != std::string::npos
                || raw->in.find("\r\nTransfer-Encoding:") != std::string::npos;
            if (orderly && !framed && takeMessage(raw->in, answer->content, true)) {
                answer->status = answer->content.status();
                answer->whole = true;
            }
            answer->bytes = raw->in;
            finish();
        };
        m_conn->write(text);
        return answer;
    }

private:
    loop &m_loop;
    endpoint m_to;
    conn_ptr m_conn;
};

inline std::string requestText(const std::string &method, const std::string &target,
                               const std::string &host, const std::string &attempt, int deadlineMs,
                               const std::vector<std::pair<std::string, std::string>> &more = {},
                               const std::string &body = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: "
        + attempt + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    for (const auto &[name, value] : more)
        text += name + ": " + value + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// Prints the verdict, ends all processes and returns the exit code.
inline int verdict(bool broken, const std::string &what)
{
    record("%s: %s", broken ? "RULE BROKEN" : "rule held", what.c_str());
    std::printf("%s: %s\n", broken ? "RULE BROKEN" : "rule held", what.c_str());
    std::fflush(stdout);
    return broken ? RuleBroken : Held;
}

} // namespace lab
