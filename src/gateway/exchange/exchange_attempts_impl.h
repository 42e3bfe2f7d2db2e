#pragma once

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/exchange_limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// The part of an exchange that sends the request to servers, and tries again elsewhere.
namespace orchidlead::gateway {

template <gateway_codec Codec>
server_ptr exchange<Codec>::chooseServer()
{
    server_wish wish;
    wish.service = m_service;
    wish.exclude = m_tried;
    wish.near = m_context.dataCenter;
    wish.allowed = m_residency;
    if (const auto largest = m_work ? m_work->largest() : std::nullopt)
        wish.near = whereResultLies(largest->handle);
    return m_context.directory.choose(wish);
}

template <gateway_codec Codec>
void exchange<Codec>::attempt()
{
    if (m_done)
        return;
    if (left() <= milliseconds{0}) {
        onTimeout();
        return;
    }
    if (const auto why = whyUnservable()) {
        giveUp(*why);
        return;
    }
    if (m_needsStages) {
        restartStages("results_freed");
        return;
    }
    passQuarantine([self = this->shared_from_this()] {
        if (self->mustBePlaced())
            self->place();
        else
            self->sendTo(self->chooseServer());
    });
}

// Engines are chosen by what all nodes have there. What a bounded server gets is a sum over all
// nodes, so those of any service are paced in one place.
template <gateway_codec Codec>
bool exchange<Codec>::mustBePlaced() const
{
    const bool onEngine = m_route->prefixAffinity && !m_marks.prompt.empty();
    return onEngine || m_context.directory.anyBounded(m_service, m_residency);
}

template <gateway_codec Codec>
milliseconds exchange<Codec>::slack() const
{
    const auto expected = m_context.times.firstAnswer(m_service);
    const auto due = m_arrival + m_route->objective - expected;
    return std::max(milliseconds{0},
                    std::chrono::duration_cast<milliseconds>(due - m_context.loop.now()));
}

template <gateway_codec Codec>
placement_wish exchange<Codec>::makeWish()
{
    placement_wish wish;
    wish.exclude = m_context.directory.passedOver(m_service, m_residency);
    std::ranges::copy(m_tried, std::back_inserter(wish.exclude));
    wish.near = m_home.empty() ? chooseHome() : m_home;
    wish.nearBytes = m_body.size();
    if (const auto largest = m_work ? m_work->largest() : std::nullopt) {
        wish.near = whereResultLies(largest->handle);
        wish.nearBytes = largest->bytes;
    }
    wish.allowed = m_residency;
    wish.pool = m_context.placer.poolFor(m_service, usableNear(wish.near, m_service), m_residency);
    wish.rank = stageRank();
    wish.patience = slack();
    wish.admitted = m_admitted;
    return wish;
}

template <gateway_codec Codec>
void exchange<Codec>::place()
{
    auto wish = makeWish();
    wish.prompt = m_marks.prompt;
    m_placement = m_context.placer.place(
        std::move(wish), [self = this->shared_from_this()](const placed_request &placed) {
            if (!self->m_done)
                self->onPlaced(placed);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::onPlaced(const placed_request &placed)
{
    logPlaced(placed);
    if (!placed.server) {
        m_roomAfter = placed.wait;
        const auto otherwise =
            placed.allBounded ? request_outcome::ServersLimited : request_outcome::NoServer;
        giveUp(whyUnservable().value_or(otherwise));
        return;
    }
    m_admitted = true; // another try of it needs no more room than this one
    if (placed.wait == milliseconds{0}) {
        sendTo(placed.server);
        return;
    }
    m_turnTimer = m_context.loop.callAfter(
        placed.wait, [self = this->shared_from_this(), server = placed.server] {
            self->m_turnTimer = 0;
            self->sendTo(server);
        });
}

template <gateway_codec Codec>
void exchange<Codec>::leavePlacement()
{
    m_context.loop.cancelTimer(std::exchange(m_turnTimer, 0));
    m_context.placer.onEnd(std::exchange(m_placement, 0));
}

template <gateway_codec Codec>
void exchange<Codec>::sendTo(server_ptr chosen)
{
    m_server = std::move(chosen);
    if (!m_server) {
        giveUp(whyUnservable().value_or(request_outcome::NoServer));
        return;
    }
    ++m_server->outstanding;
    m_passing = passing::Nothing;
    m_withheld = false;
    m_buffered.clear();
    m_sentAt = m_context.loop.now();
    m_answeredFrom.reset();
    const auto self = this->shared_from_this();
    http::outbound_call call;
    call.body = m_body;
    call.toHead = m_head.method == "HEAD";
    call.writeHead = [self] { return self->writeHead(); };
    call.isMine = [self](const http::response_head &head) {
        const auto marks = Codec::readAnswer(head);
        if (marks.attempt.empty() || marks.attempt == self->m_marks.attempt)
            return true;
        self->onForeignHead(marks);
        return false;
    };
    call.onHead = [self](const http::response_head &head) { self->onHead(head); };
    call.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    call.onEnd = [self](http::call_end how) { self->onEnd(how); };
    m_call = m_context.pool.start(m_server->record.address, std::move(call));
    if (m_route->repeatable())
        watchSilence(std::chrono::duration_cast<milliseconds>(m_route->objective * SilenceShare));
}

template <gateway_codec Codec>
bool exchange<Codec>::serverMayHaveIt() const
{
    return m_server->takes(m_context.loop.now()) && m_residency.allows(m_server->region);
}

template <gateway_codec Codec>
std::optional<std::string> exchange<Codec>::writeHead()
{
    m_withheld = !serverMayHaveIt();
    if (m_done || m_withheld || left() <= milliseconds{0} || !mayBeSent())
        return std::nullopt;
    server_marks marks;
    marks.patience = left() + AnswerMargin;
    marks.instance = m_server->record.id;
    if (m_customer)
        marks.customer = m_customer->id;
    if (m_route->kind == request_kind::Stream)
        marks.priority = std::min(m_priority, LeastUrgent);
    marks.lastEvent = m_splitter.lastEvent() ? m_splitter.lastEvent() : m_marks.lastEvent;
    if (m_work)
        marks.inputs = m_work->inputs();
    http::request_head out;
    out.method = m_head.method;
    out.target = m_head.target;
    out.fields = Codec::writeServerFields(m_head, marks);
    const bool hadFraming = http::findField(m_head.fields, "content-length")
        || http::findField(m_head.fields, "transfer-encoding");
    if (!m_body.empty() || hadFraming)
        out.fields.push_back({"Content-Length", std::to_string(m_body.size())});
    ++m_attempts;
    m_lastHeard = m_context.loop.now();
    m_context.directory.onSending(*m_server);
    logSent();
    return http::formatHead(out);
}

template <gateway_codec Codec>
void exchange<Codec>::endAttempt()
{
    m_context.loop.cancelTimer(std::exchange(m_silenceTimer, 0));
    m_call = 0;
    leavePlacement();
    if (m_server)
        --m_server->outstanding;
}

template <gateway_codec Codec>
void exchange<Codec>::onEnd(http::call_end how)
{
    if (m_done)
        return;
    endAttempt();
    if (how == http::call_end::NotSent && m_withheld) {
        m_tried.push_back(m_server->record.id);
        attempt(); // no fault of the server's, and no second try
        return;
    }
    if (how == http::call_end::NotSent && !mayBeSent()) {
        attempt(); // asks again what may be done with it
        return;
    }
    if (how == http::call_end::NotSent) {
        onFate(fate::NotSent);
        return;
    }
    const bool whole = how == http::call_end::Complete;
    const bool refused = m_answerMarks.notRun || m_answer.status == status::Misdirected;
    if (whole && m_passing == passing::Nothing && !m_begun && refused) {
        onFate(fate::NotRun);
        return;
    }
    m_mayHaveRun = true;
    if (!whole || m_passing == passing::Nothing || m_splitter.amidEvent()) {
        if (how == http::call_end::Broken && mayBeBlamed())
            m_context.onBroken(*m_server, {m_digest, m_sentAt});
        onFate(fate::Unknown);
        return;
    }
    m_context.directory.onAnswer(*m_server);
    logAttemptEnd("answered");
    if (m_passing == passing::Buffered) {
        onBufferedEnd();
        return;
    }
    if (!m_begun)
        beginAnswer();
    m_client->finish();
    finish(request_outcome::Answered);
}

// A server that leaves as planned ends without the request's doing, and one that has answered for a
// while hasn't ended of taking it up.
template <gateway_codec Codec>
bool exchange<Codec>::mayBeBlamed() const
{
    const bool flowing = m_answeredFrom && m_context.loop.now() - *m_answeredFrom > ProofOfRunning;
    return m_server->usable() && !flowing;
}

template <gateway_codec Codec>
void exchange<Codec>::onBufferedEnd()
{
    if (m_answer.status >= status::FirstServerError && mayTryAgain(fate::Failed)) {
        m_tried.push_back(m_server->record.id);
        attempt();
        return;
    }
    // These statuses promise that the request hasn't run, and this server didn't say so.
    const bool promises = m_answer.status == status::Unavailable
        || m_answer.status == status::TooMany || m_answer.status == status::Timeout;
    if (promises && !m_route->repeatable()) {
        answerOwn(status::BadGateway, request_outcome::ServerFailed);
        return;
    }
    m_told = m_answer.status;
    m_client->respond(m_answer.status, http::forwardedFields(m_answer.fields), m_buffered);
    finish(m_answer.status < status::FirstServerError ? request_outcome::Answered
                                                      : request_outcome::Failed);
}

template <gateway_codec Codec>
bool exchange<Codec>::mayTryAgain(fate what)
{
    const bool safe = what == fate::NotSent || what == fate::NotRun || m_route->repeatable();
    if (!safe) {
        logDenied("may_have_run");
        return false;
    }
    if (left() <= milliseconds{0} || !m_client->open()) {
        logDenied("no_time");
        return false;
    }
    if (what == fate::NotSent)
        return ++m_unsent < MaxUnsent;
    if (m_attempts >= m_route->maxAttempts) {
        logDenied("attempts_used_up");
        return false;
    }
    if (!m_context.allowance.tryTake(m_service)) {
        logDenied("budget_spent");
        return false;
    }
    return true;
}

// A data centre that is cut off refuses connections at once, and is lost only after a while.
template <gateway_codec Codec>
void exchange<Codec>::leaveUnreached(const data_center_id &where)
{
    const auto &own = m_context.dataCenter;
    if (where == own || ++m_unsentAway < MaxUnsentAway
        || !m_context.directory.usableIn(m_service, own))
        return;
    m_unreached = where;
    m_home = chooseHome();
    if (m_work && resultsLieIn(where))
        m_needsStages = mayRestartStages();
}

template <gateway_codec Codec>
void exchange<Codec>::onFate(fate what)
{
    auto &server = *m_server;
    logAttemptEnd(nameOf(what));
    if (what == fate::NotRun) {
        if (m_answer.status == status::Misdirected)
            server.gone = true;
        else if (m_answer.status == status::Conflict)
            m_needsStages = m_work.has_value() && !std::exchange(m_stagesRestarted, true);
    } else {
        m_context.directory.onFailure(server);
    }
    m_tried.push_back(server.record.id);
    m_answer.status = 0;
    m_answerMarks = {};
    m_splitter.restart();
    if (what == fate::NotSent)
        leaveUnreached(server.record.dataCenter);
    if (mayTryAgain(what))
        attempt();
    else
        giveUp(what == fate::NotRun ? request_outcome::ServersFull : request_outcome::ServerFailed);
}

template <gateway_codec Codec>
void exchange<Codec>::onDataCenterLost(const data_center_id &dataCenter)
{
    if (m_done)
        return;
    const bool sentThere = m_call != 0 && m_server->record.dataCenter == dataCenter;
    if (sentThere && m_route->repeatable() && m_attempts < m_route->maxAttempts) {
        m_context.pool.abandon(m_call);
        onEnd(http::call_end::TimedOut);
    } else if (m_call == 0 && !m_begun && m_work && resultsLieIn(dataCenter)) {
        if (mayRestartStages())
            restartStages("data_center_lost");
        else
            giveUp(request_outcome::StageFailed);
    }
}

// The timer runs on while the answer comes, and looks how long ago the last of it was heard.
template <gateway_codec Codec>
void exchange<Codec>::watchSilence(milliseconds limit)
{
    m_context.loop.cancelTimer(m_silenceTimer);
    m_lastHeard = m_context.loop.now();
    m_silenceTimer = m_context.loop.callAfter(limit, [self = this->shared_from_this()] {
        self->m_silenceTimer = 0;
        self->onSilence();
    });
}

template <gateway_codec Codec>
void exchange<Codec>::onSilence()
{
    if (m_done || m_call == 0)
        return;
    const auto silent = m_context.loop.now() - m_lastHeard;
    auto limit = std::chrono::duration_cast<milliseconds>(m_route->objective * SilenceShare);
    if (m_begun)
        limit = std::max(MinStreamSilence, 2 * m_route->pauseObjective.value_or(limit));
    if (silent < limit) {
        const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(limit - silent);
        m_silenceTimer = m_context.loop.callAfter(rest, [self = this->shared_from_this()] {
            self->m_silenceTimer = 0;
            self->onSilence();
        });
        return;
    }
    if (m_passing == passing::Bytes || m_attempts >= m_route->maxAttempts)
        return;
    // Elsewhere only if there is somewhere else.
    server_wish wish;
    wish.service = m_service;
    wish.exclude = m_tried;
    wish.exclude.push_back(m_server->record.id);
    wish.allowed = m_residency;
    if (!m_context.directory.choose(wish))
        return;
    m_context.pool.abandon(m_call);
    onEnd(http::call_end::TimedOut);
}

} // namespace orchidlead::gateway
