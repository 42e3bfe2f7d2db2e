#pragma once

#include "core/settings/socket_address_text.h"
#include "gateway/log_event.h"
#include "gateway/stages/stage_host.h"

#include <algorithm>
#include <utility>

/// The part of a stage host that gives up results at the servers that hold them.
namespace orchidlead::gateway {

/// How long freed handles are collected: a call for each would cost more than the room is worth.
inline constexpr milliseconds FreeDelay{15};
/// A call that frees is given up after this; the results lapse by themselves.
inline constexpr milliseconds FreeTimeout{1000};

/// Gives the address of the server that holds a result: what comes before the slash.
[[nodiscard]] inline std::string holderOf(const std::string &handle)
{
    return handle.substr(0, handle.find('/'));
}

template <gateway_codec Codec>
void stage_host<Codec>::free(const std::vector<std::string> &handles)
{
    for (const auto &each : handles)
        m_frees[holderOf(each)].push_back(each);
    if (!m_frees.empty())
        scheduleFrees(m_loop.now() + FreeDelay);
}

template <gateway_codec Codec>
void stage_host<Codec>::scheduleFrees(steady_time at)
{
    if (m_freeTimer != 0 && m_freesAt <= at)
        return;
    m_loop.cancelTimer(m_freeTimer);
    m_freesAt = at;
    m_freeTimer = m_loop.callAfter(std::chrono::ceil<std::chrono::microseconds>(at - m_loop.now()),
                                   [this] { flushFrees(); });
}

template <gateway_codec Codec>
std::optional<steady_time> stage_host<Codec>::mayBeFreedAt(const server &holder) const
{
    const auto now = m_loop.now();
    if (!holder.usable())
        return std::nullopt;
    auto at = std::max(now, holder.takesFrom());
    if (holder.bound(now)) {
        const double share = shareOf(holder);
        if (share <= 0)
            return std::nullopt;
        at = std::max(at, m_pace.nextAt(holder, share));
    }
    return at > now ? at + FreeDelay : at; // calls that wait go first
}

template <gateway_codec Codec>
void stage_host<Codec>::flushFrees()
{
    m_freeTimer = 0;
    std::optional<steady_time> next;
    for (auto &[address, handles] : std::exchange(m_frees, {})) {
        const auto parsed = parseSocketAddress(address);
        if (!parsed)
            m_log.write(
                wire::log_level::Warning,
                m_log.line(wire::log_level::Warning, toName(log_event::ResultHandleUnreadable))
                    .add("handle", handles.front()));
        const auto holder = parsed ? m_directory.findAt(*parsed) : nullptr;
        const auto at = holder ? mayBeFreedAt(*holder) : std::nullopt;
        if (!at)
            continue;
        if (*at > m_loop.now()) {
            m_frees[address] = std::move(handles);
            next = std::min(next.value_or(*at), *at);
            continue;
        }
        m_pace.onSent(*holder, shareOf(*holder));
        sendFrees(holder, std::move(handles));
    }
    if (next)
        scheduleFrees(*next);
}

template <gateway_codec Codec>
void stage_host<Codec>::sendFrees(const server_ptr &holder, std::vector<std::string> handles)
{
    http::outbound_call made;
    made.body = Codec::writeHandles(handles);
    made.writeHead = [this, holder, length = made.body.size()]() -> std::optional<std::string> {
        if (!holder->takes(m_loop.now()))
            return std::nullopt;
        http::request_head head;
        head.method = "POST";
        head.target = Codec::freePath();
        head.fields = Codec::stageFields(holder->record.id);
        head.fields.push_back({"Host", toText(holder->record.address)});
        head.fields.push_back({"Content-Length", std::to_string(length)});
        return http::formatHead(head);
    };
    made.onHead = [this, holder](const http::response_head &head) {
        m_directory.onSignals(*holder, Codec::readAnswer(head).server);
    };
    // Until the server has answered, the room isn't free. A result that can't be freed lapses by
    // itself, there and in the pool's account.
    made.onEnd = [this, holder, freed = std::move(handles)](http::call_end how) {
        if (how == http::call_end::Complete)
            onFreed(freed);
        else if (how == http::call_end::NotSent && !holder->takes(m_loop.now()))
            free(freed); // when it takes requests again
    };
    const auto call = m_pool.start(holder->record.address, std::move(made));
    m_loop.callAfter(FreeTimeout, [this, call] { m_pool.abandon(call); });
}

template <gateway_codec Codec>
void stage_host<Codec>::onFreed(const std::vector<std::string> &handles)
{
    for (auto &[key, pool] : m_pools) {
        for (const auto &each : handles)
            pool->onFreed(each);
        if (pool->waiting() > 0)
            schedulePump(key);
    }
}

} // namespace orchidlead::gateway
