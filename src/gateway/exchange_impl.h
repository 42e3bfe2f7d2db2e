#pragma once

#include "gateway/exchange.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace status {
inline constexpr int Ok = 200;
inline constexpr int FirstRedirect = 300;
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int NotFound = 404;
inline constexpr int Timeout = 408;
inline constexpr int Conflict = 409;
inline constexpr int Misdirected = 421;
inline constexpr int TooMany = 429;
inline constexpr int FirstServerError = 500;
inline constexpr int BadGateway = 502;
inline constexpr int Unavailable = 503;
inline constexpr int GatewayTimeout = 504;
} // namespace status

/// Answers up to this size are held until they are whole, so that a broken one can be tried again.
inline constexpr std::size_t MaxBufferedAnswer = 128U << 10U;
/// Longest event of a stream.
inline constexpr std::size_t MaxEventBytes = 256U << 10U;
/// Bytes that wait for a slow client before its server isn't read any more.
inline constexpr std::size_t MaxQueuedBytes = 256U << 10U;
/// Tries that never reached a server: each is another server, or a connection that had ended.
inline constexpr std::uint32_t MaxUnsent = 4;
/// When a refused client is asked to come back: a few calls of a stage later.
inline constexpr milliseconds ComeBack{400};
/// The answer leaves this long before the client stops waiting.
inline constexpr milliseconds AnswerMargin{20};
/// Least silence of a stream after which another server goes on with it.
inline constexpr milliseconds MinStreamSilence{1000};
/// Part of the objective after which an unanswered request that may be repeated goes elsewhere.
inline constexpr double SilenceShare = 1.0;
/// Most urgent and least urgent rank that servers know.
inline constexpr std::uint32_t LeastUrgent = 9;

template <gateway_codec Codec>
exchange<Codec>::exchange(gateway_context<Codec> &context, http::inbound_ptr client,
                          http::request_head head, std::string body)
    : m_context(context)
    , m_client(std::move(client))
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_configuration(context.configuration)
    , m_arrival(context.loop.now())
    , m_splitter(MaxEventBytes)
{ }

template <gateway_codec Codec>
milliseconds exchange<Codec>::left() const
{
    return std::chrono::duration_cast<milliseconds>(m_end - m_context.loop.now());
}

template <gateway_codec Codec>
void exchange<Codec>::start()
{
    m_marks = Codec::readRequest(m_head);
    m_client->onClientGone([self = this->shared_from_this()] { self->onClientGone(); });
    if (!m_configuration) {
        refuse(request_outcome::NoConfiguration);
        return;
    }
    if (!findRoute())
        return;
    m_priority = m_customer && m_customer->priority ? *m_customer->priority : m_route->priority;
    const auto patience = m_marks.patience.value_or(m_route->timeout);
    m_end = m_arrival + std::min(patience, m_route->timeout) - AnswerMargin;
    if (left() <= milliseconds{0}) {
        refuse(request_outcome::NoTime);
        return;
    }
    m_endTimer = m_context.loop.callAfter(left(), [self = this->shared_from_this()] {
        self->m_endTimer = 0;
        self->onTimeout();
    });
    m_service = pickService();
    m_context.allowance.onRequest(m_service);
    if (m_route->stages.empty())
        attempt();
    else
        startStages();
}

template <gateway_codec Codec>
bool exchange<Codec>::findRoute()
{
    const std::string_view path =
        std::string_view(m_head.target).substr(0, m_head.target.find('?'));
    m_route = m_configuration->findRoute(m_marks.host, path);
    if (!m_route) {
        answerOwn(status::NotFound, request_outcome::NoRoute);
        return false;
    }
    if (!m_configuration->needsKeys() || m_route->anonymous)
        return true;
    m_customer = m_configuration->findCustomer(m_marks.key);
    if (!m_customer)
        answerOwn(status::Unauthorized, request_outcome::UnknownKey);
    return m_customer != nullptr;
}

template <gateway_codec Codec>
service_id exchange<Codec>::pickService()
{
    const auto &services = m_route->services;
    if (services.size() == 1)
        return services.front().service;
    std::uint32_t total = 0;
    for (const auto &each : services)
        total += each.weight;
    if (total == 0)
        return services.front().service;
    std::uint32_t drawn =
        std::uniform_int_distribution<std::uint32_t>(0, total - 1)(m_context.random);
    for (const auto &each : services) {
        if (drawn < each.weight)
            return each.service;
        drawn -= each.weight;
    }
    return services.back().service;
}

template <gateway_codec Codec>
void exchange<Codec>::startStages()
{
    m_work = stage_work::create(*m_route, m_marks);
    if (!m_work) {
        answerOwn(status::BadRequest, request_outcome::PieceCounts);
        return;
    }
    m_afterStages = m_context.times.afterStages(*m_configuration, *m_route, m_service);
    submitReadyPieces();
}

template <gateway_codec Codec>
void exchange<Codec>::submitReadyPieces()
{
    if (m_work->done()) {
        onStagesDone();
        return;
    }
    for (auto &each : m_work->takeReady()) {
        piece_job job;
        const auto stage = each.request.stage;
        const auto piece = each.request.piece;
        job.priority = m_priority;
        job.routePriority = m_route->priority;
        job.aim = m_arrival + m_route->objective - m_afterStages[stage];
        job.deadline = m_end - m_afterStages[stage];
        job.resultBytes = m_route->stages[stage].resultBytes;
        job.request = std::move(each.request);
        job.near = job.request.inputs.empty() ? m_context.dataCenter
                                              : whereResultLies(job.request.inputs.front());
        auto handler = [self = this->shared_from_this(), stage, piece](piece_result result) {
            self->onPiece(stage, piece, std::move(result));
        };
        m_pieces.push_back(
            m_context.stages.submit(each.service, std::move(job), std::move(handler)));
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onPiece(std::uint32_t stage, std::uint32_t piece, piece_result result)
{
    if (m_done)
        return;
    if (auto *handle = std::get_if<std::string>(&result)) {
        m_work->onResult(stage, piece, std::move(*handle));
        m_context.stages.free(m_work->takeSpent());
        submitReadyPieces();
        return;
    }
    const auto failure = std::get<piece_failure>(result);
    // What was lost because it lay too long would only be late again.
    const bool inTime = m_context.loop.now() < m_arrival + m_route->objective;
    if (failure == piece_failure::InputGone && inTime && !std::exchange(m_stagesRestarted, true)) {
        restartStages("input_gone");
        return;
    }
    giveUp(outcomeOf(failure));
}

template <gateway_codec Codec>
void exchange<Codec>::restartStages(std::string_view reason)
{
    m_context.log.write(wire::log_level::Info,
                        m_context.log.line(wire::log_level::Info, "stages_restarted")
                            .add("request", m_marks.attempt)
                            .add("reason", reason));
    withdrawPieces();
    freeResults();
    m_needsStages = false;
    m_work->restart();
    submitReadyPieces();
}

template <gateway_codec Codec>
void exchange<Codec>::onStagesDone()
{
    m_pieces.clear();
    m_needsStages = false;
    attempt();
}

template <gateway_codec Codec>
void exchange<Codec>::withdrawPieces()
{
    for (const auto token : std::exchange(m_pieces, {}))
        m_context.stages.withdraw(token);
}

template <gateway_codec Codec>
void exchange<Codec>::freeResults()
{
    if (!m_work || m_needsStages)
        return;
    m_context.stages.free(m_work->allHandles());
}

template <gateway_codec Codec>
data_center_id exchange<Codec>::whereResultLies(const std::string &handle) const
{
    const auto holder = parseSocketAddress(holderOf(handle));
    const auto server = holder ? m_context.directory.findAt(*holder) : nullptr;
    return server ? server->record.dataCenter : data_center_id{};
}

template <gateway_codec Codec>
server_ptr exchange<Codec>::chooseServer()
{
    server_wish wish;
    wish.service = m_service;
    wish.exclude = m_tried;
    wish.near = m_context.dataCenter;
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
    if (m_needsStages) {
        restartStages("results_freed");
        return;
    }
    if (m_route->prefixAffinity && !m_marks.prompt.empty())
        placeOnEngine();
    else
        sendTo(chooseServer());
}

template <gateway_codec Codec>
void exchange<Codec>::placeOnEngine()
{
    engine_wish wish;
    wish.service = m_service;
    wish.prompt = m_marks.prompt;
    wish.exclude = m_tried;
    wish.near = m_context.dataCenter;
    if (const auto largest = m_work ? m_work->largest() : std::nullopt) {
        wish.near = whereResultLies(largest->handle);
        wish.nearBytes = largest->bytes;
    }
    m_placement = m_context.engines.place(std::move(wish),
                                          [self = this->shared_from_this()](server_ptr chosen) {
                                              if (!self->m_done)
                                                  self->sendTo(std::move(chosen));
                                          });
}

template <gateway_codec Codec>
void exchange<Codec>::sendTo(server_ptr chosen)
{
    m_server = std::move(chosen);
    if (!m_server) {
        giveUp(request_outcome::NoServer);
        return;
    }
    ++m_server->outstanding;
    m_passing = passing::Nothing;
    m_buffered.clear();
    m_sentAt = m_context.loop.now();
    const auto self = this->shared_from_this();
    http::outbound_call call;
    call.body = m_body;
    call.toHead = m_head.method == "HEAD";
    call.writeHead = [self] { return self->writeHead(); };
    call.isMine = [self](const http::response_head &head) {
        const auto marks = Codec::readAnswer(head);
        return marks.attempt.empty() || marks.attempt == self->m_marks.attempt;
    };
    call.onHead = [self](const http::response_head &head) { self->onHead(head); };
    call.onBody = [self](std::string_view bytes) { self->onBody(bytes); };
    call.onEnd = [self](http::call_end how) { self->onEnd(how); };
    m_call = m_context.pool.start(m_server->record.address, std::move(call));
    if (m_route->repeatable())
        watchSilence(std::chrono::duration_cast<milliseconds>(m_route->objective * SilenceShare));
}

template <gateway_codec Codec>
std::optional<std::string> exchange<Codec>::writeHead()
{
    if (m_done || !m_server->usable() || left() <= milliseconds{0})
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
    return http::formatHead(out);
}

template <gateway_codec Codec>
void exchange<Codec>::onHead(const http::response_head &head)
{
    m_answerMarks = Codec::readAnswer(head);
    const bool success = head.status >= status::Ok && head.status < status::FirstRedirect;
    if (m_begun) {
        // A stream that goes on: its head is out already.
        m_passing = success ? passing::Events : passing::Nothing;
        return;
    }
    m_answer = head;
    const bool refused = m_answerMarks.notRun || head.status == status::Misdirected;
    if (refused || (success && !m_answerMarks.signedByServer)) {
        m_passing = passing::Nothing;
        return;
    }
    const bool events = success && m_route->kind == request_kind::Stream;
    m_passing = events ? passing::Events : passing::Buffered;
}

template <gateway_codec Codec>
void exchange<Codec>::onBody(std::string_view bytes)
{
    if (m_done)
        return;
    m_lastHeard = m_context.loop.now();
    switch (m_passing) {
    case passing::Nothing:
        break;
    case passing::Buffered:
        m_buffered.append(bytes);
        if (m_buffered.size() > MaxBufferedAnswer) {
            m_passing = passing::Bytes;
            beginAnswer();
            m_client->write(std::exchange(m_buffered, {}));
            passBackpressure();
        }
        break;
    case passing::Bytes:
        m_client->write(bytes);
        passBackpressure();
        break;
    case passing::Events:
        onEvents(bytes);
        break;
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onEvents(std::string_view bytes)
{
    const auto events = m_splitter.feed(bytes);
    if (!events.empty()) {
        if (!m_begun) {
            m_context.metrics.onFirstEvent(
                std::chrono::duration_cast<milliseconds>(m_context.loop.now() - m_arrival));
            const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
                m_context.loop.now() - m_sentAt);
            m_context.times.onFirstAnswer(m_service, took);
            m_context.engines.onFirstAnswer(m_placement);
            beginAnswer();
        }
        m_client->write(events);
        passBackpressure();
    }
    if (!m_splitter.broken())
        return;
    m_context.pool.abandon(m_call);
    onEnd(http::call_end::Broken);
}

template <gateway_codec Codec>
void exchange<Codec>::beginAnswer()
{
    m_begun = true;
    http::response_head head;
    head.status = m_answer.status;
    head.reason = m_answer.reason;
    head.fields = http::forwardedFields(m_answer.fields);
    // A stream may go on at another server, and then has another length.
    if (m_passing == passing::Bytes)
        head.length = m_answer.length;
    m_client->begin(head);
    if (m_passing == passing::Events) {
        freeResults();
        m_needsStages = m_work.has_value();
    }
}

// The client reads slower than its server writes: what it hasn't read waits at the server.
template <gateway_codec Codec>
void exchange<Codec>::passBackpressure()
{
    if (m_client->queuedBytes() <= MaxQueuedBytes)
        return;
    m_context.pool.setReading(m_call, false);
    m_client->onDrained([self = this->shared_from_this()] {
        self->m_lastHeard = self->m_context.loop.now();
        self->m_context.pool.setReading(self->m_call, true);
    });
}

template <gateway_codec Codec>
void exchange<Codec>::endAttempt()
{
    m_context.loop.cancelTimer(std::exchange(m_silenceTimer, 0));
    m_call = 0;
    m_context.engines.onEnd(std::exchange(m_placement, 0));
    if (m_server)
        --m_server->outstanding;
}

template <gateway_codec Codec>
void exchange<Codec>::onEnd(http::call_end how)
{
    if (m_done)
        return;
    endAttempt();
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
        onFate(fate::Unknown);
        return;
    }
    m_context.directory.onAnswer(*m_server, m_answerMarks.load);
    if (m_passing == passing::Buffered) {
        onBufferedEnd();
        return;
    }
    if (!m_begun)
        beginAnswer();
    m_client->finish();
    finish(request_outcome::Answered);
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
    m_client->respond(m_answer.status, http::forwardedFields(m_answer.fields), m_buffered);
    finish(m_answer.status < status::FirstServerError ? request_outcome::Answered
                                                      : request_outcome::Failed);
}

template <gateway_codec Codec>
bool exchange<Codec>::mayTryAgain(fate what)
{
    const bool safe = what == fate::NotSent || what == fate::NotRun || m_route->repeatable();
    if (!safe || left() <= milliseconds{0} || !m_client->open())
        return false;
    if (what == fate::NotSent)
        return ++m_unsent < MaxUnsent;
    return m_attempts < m_route->maxAttempts && m_context.allowance.tryTake(m_service);
}

template <gateway_codec Codec>
void exchange<Codec>::onFate(fate what)
{
    auto &server = *m_server;
    if (what == fate::NotRun) {
        if (m_answer.status == status::Misdirected)
            server.gone = true;
        else if (m_answer.status == status::Conflict)
            m_needsStages = m_work.has_value() && !std::exchange(m_stagesRestarted, true);
        else
            m_context.directory.onRefused(server);
    } else {
        m_context.directory.onFailure(server);
    }
    m_tried.push_back(server.record.id);
    m_answer.status = 0;
    m_answerMarks = {};
    m_splitter.restart();
    if (mayTryAgain(what))
        attempt();
    else
        giveUp(what == fate::NotRun ? request_outcome::ServersFull : request_outcome::ServerFailed);
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
    if (!m_context.directory.choose(wish))
        return;
    m_context.pool.abandon(m_call);
    onEnd(http::call_end::Broken);
}

template <gateway_codec Codec>
void exchange<Codec>::answerOwn(int code, request_outcome outcome)
{
    m_client->respond(code, {}, {});
    finish(outcome);
}

// Says that no server has run the request, which must be true, and when to come back.
template <gateway_codec Codec>
void exchange<Codec>::refuse(request_outcome outcome)
{
    m_client->respond(status::Unavailable, {Codec::retryAfter(ComeBack)}, {});
    finish(outcome);
}

template <gateway_codec Codec>
void exchange<Codec>::giveUp(request_outcome outcome)
{
    if (m_begun) {
        m_client->abort();
        finish(outcome);
    } else if (m_mayHaveRun) {
        answerOwn(status::BadGateway, outcome);
    } else {
        refuse(outcome);
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onTimeout()
{
    if (m_done)
        return;
    const bool sent = m_call != 0 && m_attempts > 0;
    if (m_call != 0) {
        m_context.pool.abandon(m_call);
        endAttempt();
    }
    if (m_begun) {
        m_client->abort();
        finish(request_outcome::Timeout);
    } else if (sent || m_mayHaveRun) {
        answerOwn(status::GatewayTimeout, request_outcome::Timeout);
    } else {
        refuse(request_outcome::Timeout);
    }
}

template <gateway_codec Codec>
void exchange<Codec>::onClientGone()
{
    if (m_done)
        return;
    if (m_call != 0) {
        m_context.pool.abandon(m_call);
        endAttempt();
    }
    finish(request_outcome::ClientGone);
}

template <gateway_codec Codec>
void exchange<Codec>::finish(request_outcome outcome)
{
    if (std::exchange(m_done, true))
        return;
    m_context.loop.cancelTimer(std::exchange(m_endTimer, 0));
    m_context.loop.cancelTimer(std::exchange(m_silenceTimer, 0));
    m_context.engines.onEnd(std::exchange(m_placement, 0));
    withdrawPieces();
    freeResults();
    logEnd(outcome);
    m_context.metrics.onRequest(
        m_route ? std::optional(m_route->kind) : std::nullopt, outcome,
        std::chrono::duration_cast<milliseconds>(m_context.loop.now() - m_arrival));
    if (m_client) {
        m_client->onClientGone({});
        m_client->onDrained({});
    }
    m_client.reset();
}

template <gateway_codec Codec>
void exchange<Codec>::logEnd(request_outcome outcome)
{
    const auto took =
        std::chrono::duration_cast<milliseconds>(m_context.loop.now() - m_arrival).count();
    auto line = m_context.log.line(wire::log_level::Info, "request");
    line.add("request", m_marks.attempt).add("outcome", toName(outcome));
    if (m_route)
        line.add("route", m_route->name);
    line.add("status", m_answer.status).add("attempts", m_attempts).add("ms", took);
    if (m_server)
        line.add("server", m_server->record.id.value);
    m_context.log.write(wire::log_level::Info, std::move(line));
}

} // namespace orchidlead::gateway
