#pragma once

#include "gateway/exchange/exchange.h"

#include <utility>

/// The part of `exchange` that makes sure that a server has the version of the stream that is to go
/// on there, although the list of this node may be late.
namespace orchidlead::gateway {

// Without events at the client nothing can be joined. A server without a published start has
// another id after each start, and refuses requests for an earlier one.
template <gateway_codec Codec>
bool exchange<Codec>::needsStartCheck(const server &chosen) const
{
    const auto passedOn = m_current.splitter.lastEvent();
    const bool hasEvents = passedOn ? *passedOn > 0 : m_metadata.lastEvent.value_or(0) > 0;
    return m_route->kind == request_kind::Stream && m_version && hasEvents
        && chosen.record.startedAt.has_value();
}

template <gateway_codec Codec>
void exchange<Codec>::sendChecked(server_ptr chosen)
{
    if (!chosen || !needsStartCheck(*chosen)) {
        sendTo(std::move(chosen));
        return;
    }
    m_startQuestion = m_context.starts.ask(
        chosen, [self = this->shared_from_this(), chosen](start_evidence shown) {
            self->m_startQuestion = 0;
            self->onServerStart(chosen, shown);
        });
}

// The published start of a server that states another one has ended.
template <gateway_codec Codec>
void exchange<Codec>::onServerStart(const server_ptr &chosen, start_evidence shown)
{
    if (m_done)
        return;
    logServerStart(*chosen, shown);
    switch (shown) {
    case start_evidence::Published:
    case start_evidence::NotStated:
        sendTo(chosen);
        return;
    case start_evidence::Other:
        endPlacement();
        chosen->removed = true;
        m_triedServers.push_back(chosen->record.id);
        attempt(); // neither a failure of the server nor a retry
        return;
    case start_evidence::Silent:
        sendIfListed(chosen);
        return;
    case start_evidence::None:
        onNoResponse(chosen);
        return;
    }
}

// A list that was read since shows whether the start has ended. Meanwhile a held attempt may have
// been resumed, which ends the placement.
template <gateway_codec Codec>
void exchange<Codec>::sendIfListed(const server_ptr &chosen)
{
    m_startUnstated = chosen;
    m_context.streamOrigins.confirmList([self = this->shared_from_this(), chosen](bool confirmed) {
        if (self->m_done || self->m_startUnstated != chosen)
            return;
        self->m_startUnstated.reset();
        if (confirmed && !chosen->removed)
            self->sendTo(chosen);
        else
            self->onNoResponse(chosen);
    });
}

} // namespace orchidlead::gateway
