#include "standins/backend_server.h"

#include "standins/json_http.h"

#include <algorithm>
#include <utility>

namespace orchidlead::standins {

namespace {

constexpr std::string_view CompletionPath = "/v1/completions";
constexpr std::size_t MaxStuck = 10'000;
constexpr std::size_t MaxSamples = 10'000;
constexpr std::uint64_t GapOfCacheEvents = 7; // each seventh event is never reported

std::string completionId(const run_call &call)
{
    return "cmpl-" + call.key.request.value + "/" + std::to_string(call.key.stage) + "/"
        + std::to_string(call.key.attempt);
}

milliseconds since(steady_time start, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - start);
}

} // namespace

result<std::unique_ptr<backend_server>, net::net_error>
backend_server::create(const surroundings &around, const backend_server_spec &spec,
                       std::uint64_t seed)
{
    std::unique_ptr<backend_server> server(new backend_server(around, spec, seed));
    const auto listening = server->listen();
    if (!listening)
        return listening.error();
    return server;
}

backend_server::backend_server(const surroundings &around, const backend_server_spec &spec,
                               std::uint64_t seed)
    : m_around(around)
    , m_spec(spec)
    , m_random(seed)
{
    if (spec.kind != service_kind::Engine) {
        m_work = std::make_unique<stage_work>(around.loop, around.clock, spec.stage, seed + 1);
        return;
    }
    auto engine = std::make_unique<engine_work>(around.loop, around.clock, spec.engine);
    m_cache = &engine->cache();
    m_work = std::move(engine);
}

result<void, net::net_error> backend_server::listen()
{
    net::http_server_options options;
    options.listen = m_spec.listen;
    options.maxBodyBytes = 64U << 20U;
    auto server = net::http_server::create(
        m_around.loop, options,
        [this](net::http_request &&request, const net::response_ptr &response) {
            handle(request, response);
        });
    if (!server)
        return server.error();
    m_server = std::move(server.value());
    m_spec.listen.port = m_server->port();
    return success();
}

result<void, net::net_error> backend_server::setFaults(fault_set faults)
{
    m_faults = std::move(faults);
    const auto slow = m_faults.find(fault_kind::Slow);
    m_work->setSlowness(slow ? slow->factor : 1.0);
    if (!m_faults.has(fault_kind::Hang) && !m_faults.has(fault_kind::Stall))
        m_stuck.clear();
    if (m_faults.has(fault_kind::Down)) {
        m_server.reset();
        return success();
    }
    return m_server ? success() : listen();
}

void backend_server::handle(const net::http_request &request, const net::response_ptr &response)
{
    if (m_faults.draw(fault_kind::Hang, m_random)) {
        if (m_stuck.size() < MaxStuck)
            m_stuck.push_back(response);
        return;
    }
    if (request.method == "GET")
        handleReport(request, *response);
    else if (request.method == "POST")
        handleRun(request, response);
    else
        respondError(*response, 405, "GET or POST expected");
}

void backend_server::handleReport(const net::http_request &request, net::response_writer &response)
{
    if (m_faults.draw(fault_kind::LostReports, m_random))
        respondError(response, 500, "no report");
    else if (request.path == "/load")
        respondJson(response, 200, loadJson());
    else if (request.path == "/cache/events" && m_cache != nullptr)
        respondJson(response, 200,
                    cacheEventsJson(queryNumber(request.query, "after").value_or(0)));
    else
        respondError(response, 404, "unknown path");
}

void backend_server::handleRun(const net::http_request &request, const net::response_ptr &response)
{
    const bool engine = m_spec.kind == service_kind::Engine;
    if (engine && request.path != CompletionPath) {
        respondError(*response, 404, "unknown path");
        return;
    }
    auto call = engine ? parseCompletionCall(request) : parseStageCall(request);
    if (!call) {
        respondError(*response, 400, "malformed call");
        return;
    }
    if (!refuse(*response, recordOf(call.value())))
        take(std::move(call.value()), response);
}

run_record backend_server::recordOf(const run_call &call) const
{
    run_record record;
    record.server = m_spec.name;
    record.request = call.key.request.value;
    record.stage = call.stage;
    record.stageIndex = call.key.stage;
    record.attempt = call.key.attempt;
    record.customer = call.customer;
    record.nonce = call.nonce;
    record.arrived = m_around.clock.now();
    record.serverLeaving = m_faults.has(fault_kind::Leaving);
    return record;
}

bool backend_server::refuse(net::response_writer &response, run_record record)
{
    const bool leaving = m_faults.has(fault_kind::Leaving);
    if (!leaving && !m_faults.draw(fault_kind::Refuse, m_random))
        return false;
    record.end = run_end::Refused;
    record.ended = record.arrived;
    m_around.history.add(std::move(record));
    Json::Value body;
    body["error"] = leaving ? "leaving" : "refused";
    respondJson(response, 503, body, {{"retry-after", "1"}});
    return true;
}

// The work model may report while it takes the work, so the call is filed before.
void backend_server::take(run_call call, const net::response_ptr &response)
{
    const std::uint64_t sequence = m_around.history.add(recordOf(call));
    work_item item;
    item.inputBytes = call.inputBytes;
    item.prompt = call.prompt;
    item.tokens = static_cast<std::uint32_t>(call.tokens.size());
    item.priority = call.priority;
    if (call.deadline)
        item.deadline = m_around.clock.now() + *call.deadline;
    item.onStart = [this, sequence] { onStart(sequence); };
    item.onToken = [this, sequence] { onToken(sequence); };
    item.onEnd = [this, sequence](work_end end) { onEnd(sequence, end); };
    taken_call &taken = m_calls[sequence];
    taken.call = std::move(call);
    taken.response = response;
    response->onClosed([this, sequence] { onClosed(sequence); });
    const auto work = m_work->submit(std::move(item));
    sampleLoad();
    const auto found = m_calls.find(sequence);
    if (found == m_calls.end())
        return;
    found->second.work = work;
    if (work)
        return;
    respondJson(*response, 429, Json::Value(Json::objectValue), {{"retry-after", "1"}});
    endRun(sequence, run_end::Refused);
}

void backend_server::onStart(std::uint64_t sequence)
{
    const steady_time now = m_around.clock.now();
    if (const auto found = m_calls.find(sequence); found != m_calls.end())
        found->second.started = now;
    if (run_record *record = m_around.history.find(sequence))
        record->started = now;
}

void backend_server::onToken(std::uint64_t sequence)
{
    const auto found = m_calls.find(sequence);
    if (found == m_calls.end() || !found->second.call.stream || found->second.spoiled)
        return;
    taken_call &streaming = found->second;
    const std::size_t token = streaming.tokensSent;
    const bool half = token == streaming.call.tokens.size() / 2;
    if (half && m_faults.draw(fault_kind::Stall, m_random)) {
        streaming.spoiled = true;
        return;
    }
    if (half && m_faults.draw(fault_kind::Close, m_random)) {
        m_work->cancel(streaming.work.value_or(0));
        endRun(sequence, run_end::Spoiled);
        return;
    }
    if (token == 0)
        streaming.response->begin(200, {{"content-type", "text/event-stream"}});
    if (token == 0)
        streaming.foreign = m_faults.draw(fault_kind::ForeignRequest, m_random).has_value();
    const std::string id = completionId(streaming.call) + (streaming.foreign ? "0" : "");
    streaming.response->write(completionEvent(streaming.call, id, token));
    ++streaming.tokensSent;
}

void backend_server::onEnd(std::uint64_t sequence, work_end end)
{
    sampleLoad();
    const auto found = m_calls.find(sequence);
    if (found == m_calls.end())
        return;
    if (end == work_end::TooLate) {
        Json::Value body;
        body["error"] = "deadline";
        respondJson(*found->second.response, 503, body, {{"retry-after", "1"}});
        endRun(sequence, run_end::Refused);
        return;
    }
    found->second.busy = since(found->second.started, m_around.clock.now());
    const auto late = m_faults.draw(fault_kind::Late, m_random);
    if (late)
        m_around.loop.callAfter(late->delay, [this, sequence] { answer(sequence); });
    else
        answer(sequence);
}

void backend_server::onClosed(std::uint64_t sequence)
{
    const auto found = m_calls.find(sequence);
    if (found == m_calls.end())
        return;
    if (found->second.work)
        m_work->cancel(*found->second.work);
    sampleLoad();
    const run_record *record = m_around.history.find(sequence);
    const bool began = record == nullptr || record->ran();
    endRun(sequence, began ? run_end::Cancelled : run_end::Abandoned);
}

void backend_server::answer(std::uint64_t sequence)
{
    const auto found = m_calls.find(sequence);
    if (found == m_calls.end())
        return;
    const taken_call &ended = found->second;
    const run_end end = ended.call.stream ? answerStream(ended) : answerWhole(ended);
    endRun(sequence, end);
}

run_end backend_server::answerWhole(const taken_call &ended)
{
    const bool foreign = m_faults.draw(fault_kind::ForeignRequest, m_random).has_value();
    const bool twice = m_faults.draw(fault_kind::Duplicate, m_random).has_value();
    const std::string once = wholeBody(ended, foreign);
    const std::string body = twice ? once + once : once;
    const net::header_list type{{"content-type", "application/json"}};
    const bool stall = m_faults.draw(fault_kind::Stall, m_random).has_value();
    const bool close = m_faults.draw(fault_kind::Close, m_random).has_value();
    const bool wrong = m_faults.draw(fault_kind::WrongLength, m_random).has_value();
    if (!stall && !close && !wrong) {
        ended.response->respond(200, type, body);
        return foreign || twice ? run_end::Spoiled : run_end::Answered;
    }
    net::header_list headers = type;
    headers.push_back({"content-length", std::to_string(body.size())});
    ended.response->begin(200, headers);
    ended.response->write(body.substr(0, body.size() / 2));
    if (wrong)
        ended.response->finish();
    else if (stall && m_stuck.size() < MaxStuck)
        m_stuck.push_back(ended.response);
    return run_end::Spoiled;
}

run_end backend_server::answerStream(const taken_call &ended)
{
    if (ended.spoiled) {
        if (m_stuck.size() < MaxStuck)
            m_stuck.push_back(ended.response);
        return run_end::Spoiled;
    }
    if (m_faults.draw(fault_kind::WrongLength, m_random)) {
        ended.response->finish();
        return run_end::Spoiled;
    }
    const bool twice = m_faults.draw(fault_kind::Duplicate, m_random).has_value();
    if (twice) {
        for (std::size_t token = 0; token < ended.call.tokens.size(); ++token)
            ended.response->write(completionEvent(ended.call, completionId(ended.call), token));
    }
    ended.response->write(std::string(StreamEnd));
    ended.response->finish();
    return ended.foreign || twice ? run_end::Spoiled : run_end::Answered;
}

std::string backend_server::wholeBody(const taken_call &ended, bool foreign)
{
    const run_call call = answeredCall(ended, foreign);
    const Json::Value json = m_spec.kind == service_kind::Engine
        ? completionAnswer(call, completionId(call), ended.busy)
        : stageAnswer(call, call.key, ended.busy, loadJson());
    return toCompactJson(json);
}

// A foreign answer is the whole answer to another request, as one that was mixed up would be.
run_call backend_server::answeredCall(const taken_call &ended, bool foreign)
{
    run_call other = m_earlier.value_or(ended.call);
    if (!m_earlier)
        other.key.request.value += "0";
    if (!m_earlier || m_earlier->key.request != ended.call.key.request)
        m_earlier = ended.call;
    return foreign ? other : ended.call;
}

void backend_server::endRun(std::uint64_t sequence, run_end end)
{
    m_calls.erase(sequence);
    if (run_record *record = m_around.history.find(sequence)) {
        record->end = end;
        record->ended = m_around.clock.now();
    }
}

backend_server::load_sample backend_server::sample() const
{
    return {m_around.clock.now(), m_work->load(), m_cache == nullptr ? 0 : m_cache->lastSequence()};
}

void backend_server::sampleLoad()
{
    m_samples.push_back(sample());
    if (m_samples.size() > MaxSamples)
        m_samples.pop_front();
}

backend_server::load_sample backend_server::reported() const
{
    const auto lagging = m_faults.find(fault_kind::LaggingReports);
    const milliseconds lag = m_spec.reportLag + (lagging ? lagging->delay : milliseconds{0});
    if (lag.count() == 0)
        return sample();
    const steady_time asOf = m_around.clock.now() - lag;
    const auto later = std::find_if(m_samples.rbegin(), m_samples.rend(),
                                    [asOf](const load_sample &one) { return one.at <= asOf; });
    if (later != m_samples.rend())
        return *later;
    return {asOf, {0, 0, m_work->load().capacity}, 0};
}

Json::Value backend_server::loadJson() const
{
    const work_load load = reported().load;
    Json::Value json;
    json["running"] = load.running;
    json["queued"] = load.queued;
    json["capacity"] = load.capacity;
    json["leaving"] = m_faults.has(fault_kind::Leaving);
    return json;
}

Json::Value backend_server::cacheEventsJson(std::uint64_t after) const
{
    const std::uint64_t last = reported().cacheEvents;
    Json::Value json;
    json["last"] = Json::UInt64{last};
    json["events"] = Json::Value(Json::arrayValue);
    for (const cache_event &event : m_cache->eventsAfter(after)) {
        if (event.sequence > last || event.sequence % GapOfCacheEvents == 0)
            continue;
        Json::Value row;
        row["sequence"] = Json::UInt64{event.sequence};
        row["prefix"] = event.prefix;
        row["event"] = event.stored ? "stored" : "evicted";
        json["events"].append(row);
    }
    return json;
}

} // namespace orchidlead::standins
