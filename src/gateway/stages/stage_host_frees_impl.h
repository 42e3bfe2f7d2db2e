#pragma once

#include "gateway/log_event.h"
#include "gateway/servers/server_head.h"
#include "gateway/stages/stage_host.h"

#include <algorithm>
#include <utility>

/// The part of `stage_host` that frees results at the servers that hold them.
namespace orchidlead::gateway {

/// How long handles to be freed are collected into one request per server: a request for each
/// handle would cost more than the freed room is worth.
inline constexpr milliseconds FreeBatchDelay{15};
/// Timeout of a request that frees results. Results that aren't freed expire.
inline constexpr milliseconds FreeTimeout{1000};
/// Largest answer to a call that frees results; it is not read.
inline constexpr std::size_t MaxFreeAnswerBytes = 64U << 10U;

/// Returns the address of the server that holds a result: the part of the handle before the slash.
[[nodiscard]] inline std::string resultServerAddress(const std::string &handle)
{
    return handle.substr(0, handle.find('/'));
}

template <gateway_codec Codec>
void stage_host<Codec>::freeResults(const std::vector<std::string> &handles)
{
    for (const auto &each : handles) {
        for (auto &[key, pool] : m_pools)
            pool->onFreeRequested(each);
        m_pendingFrees[resultServerAddress(each)].push_back(each);
    }
    if (!m_pendingFrees.empty())
        scheduleFrees(m_loop.now() + FreeBatchDelay);
}

template <gateway_codec Codec>
void stage_host<Codec>::scheduleFrees(steady_time at)
{
    if (m_freeTimer != 0 && m_freeTimerAt <= at)
        return;
    m_loop.cancelTimer(m_freeTimer);
    m_freeTimerAt = at;
    m_freeTimer = m_loop.callAfter(std::chrono::ceil<std::chrono::microseconds>(at - m_loop.now()),
                                   [this] { flushFrees(); });
}

template <gateway_codec Codec>
std::optional<steady_time> stage_host<Codec>::earliestFreeAt(const server &holder) const
{
    const auto now = m_loop.now();
    if (!holder.usable())
        return std::nullopt;
    auto at = std::max(now, holder.acceptsFrom());
    if (holder.effectiveRateLimit(now)) {
        const double share = rateShareOf(holder);
        if (share <= 0)
            return std::nullopt;
        at = std::max(at, m_pacer.nextAllowedAt(holder, share));
    }
    return at > now ? at + FreeBatchDelay : at; // waiting calls take precedence
}

template <gateway_codec Codec>
void stage_host<Codec>::flushFrees()
{
    m_freeTimer = 0;
    std::optional<steady_time> next;
    for (auto &[address, handles] : std::exchange(m_pendingFrees, {})) {
        const auto parsed = parseSocketAddress(address);
        if (!parsed)
            m_log.write(
                wire::log_level::Warning,
                m_log.line(wire::log_level::Warning, toName(log_event::ResultHandleUnreadable))
                    .add("handle", handles.front()));
        const auto holder = parsed ? m_directory.findAt(*parsed) : nullptr;
        const auto at = holder ? earliestFreeAt(*holder) : std::nullopt;
        if (!at)
            continue;
        if (*at > m_loop.now()) {
            m_pendingFrees[address] = std::move(handles);
            next = std::min(next.value_or(*at), *at);
            continue;
        }
        m_pacer.onSent(*holder, rateShareOf(*holder));
        sendFrees(holder, std::move(handles));
    }
    if (next)
        scheduleFrees(*next);
}

template <gateway_codec Codec>
void stage_host<Codec>::sendFrees(const server_ptr &holder, std::vector<std::string> handles)
{
    http::outbound_call outbound;
    outbound.body = Codec::writeHandles(handles);
    outbound.maxBodyBytes = MaxFreeAnswerBytes;
    outbound.writeHead = [this, holder,
                          length = outbound.body.size()]() -> std::optional<std::string> {
        if (!holder->accepts(m_loop.now()))
            return std::nullopt;
        auto head = makeServerHead<Codec>("POST", Codec::freeResultsPath(), holder->record);
        head.fields.push_back({"Content-Length", std::to_string(length)});
        return http::formatHead(head);
    };
    outbound.onHead = [this, holder](const http::response_head &head) {
        m_directory.onSignals(*holder, Codec::readAnswer(head).server);
    };
    // The room counts as occupied until the server has answered. A result that can't be freed
    // expires at the server and in the pool's accounting.
    outbound.onEnd = [this, holder, freed = std::move(handles)](http::call_end httpEnd) {
        if (httpEnd == http::call_end::Complete)
            onFreed(freed);
        else if (httpEnd == http::call_end::NotSent && !holder->accepts(m_loop.now()))
            freeResults(freed); // retried when the server accepts requests again
    };
    const auto call = m_transport.start({holder, std::move(outbound), {}, true});
    m_loop.callAfter(FreeTimeout, [this, call] { m_transport.abandon(call); });
}

template <gateway_codec Codec>
void stage_host<Codec>::onFreed(const std::vector<std::string> &handles)
{
    for (auto &[key, pool] : m_pools) {
        for (const auto &each : handles) {
            if (const auto held = pool->onFreed(each))
                m_metrics.onResultFreed(key.service, *held);
        }
        if (pool->waiting() > 0)
            scheduleDispatch(key);
    }
}

} // namespace orchidlead::gateway
