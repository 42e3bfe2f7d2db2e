#include "standins/load_caller.h"

#include "standins/json_http.h"
#include "standins/proof_marker.h"

#include <algorithm>
#include <utility>

namespace orchidlead::standins {

namespace {

constexpr milliseconds AskingTime{1000}; // of a send whose deadline is over
constexpr milliseconds ConnectTimeout{500};

std::string makeKey(const clock_source &clock, const std::string &nonce)
{
    const auto issued =
        std::chrono::duration_cast<milliseconds>(clock.wallNow().time_since_epoch());
    return std::to_string(issued.count()) + "-" + nonce;
}

// The tokens must be those of the output that the last event repeats.
std::optional<caller_answer> readStream(const std::string &body, caller_record &record)
{
    const streamed_answer streamed = parseStream(body);
    if (!streamed.answer || streamed.answer->end != caller_end::Answered)
        return streamed.answer;
    const auto output = parseJson(streamed.answer->output);
    const bool whole = output && output->isObject() && (*output)["text"].isString()
        && (*output)["text"].asString() == streamed.text;
    if (!whole)
        record.faults.push_back(answer_fault::Incomplete);
    return streamed.answer;
}

bool isStream(const net::header_list &headers)
{
    const auto type = net::findHeader(headers, "content-type");
    return type && type->starts_with("text/event-stream");
}

} // namespace

load_caller::load_caller(const surroundings &around, workload work,
                         const load_caller_options &options)
    : m_around(around)
    , m_work(std::move(work))
    , m_options(options)
{ }

load_caller::~load_caller()
{
    m_around.loop.cancelTimer(m_timer);
    for (const auto &[number, request] : m_open)
        m_around.client.cancel(request.call);
}

void load_caller::start(std::vector<planned_request> plan, std::function<void()> onFinished)
{
    m_plan = std::move(plan);
    m_next = 0;
    m_startedAt = m_around.clock.now();
    m_onFinished = std::move(onFinished);
    sendDue();
}

void load_caller::sendDue()
{
    const auto elapsed = m_around.clock.now() - m_startedAt;
    while (m_next < m_plan.size() && m_plan[m_next].at <= elapsed)
        begin(m_plan[m_next++]);
    if (m_next == m_plan.size())
        return;
    const auto delay =
        std::chrono::duration_cast<std::chrono::microseconds>(m_plan[m_next].at - elapsed);
    m_timer = m_around.loop.callAfter(delay, [this] { sendDue(); });
}

void load_caller::begin(const planned_request &plan)
{
    const work_class &kind = m_work.classes[plan.workClass];
    const std::size_t number = ++m_lastNumber;
    open_request &request = m_open[number];
    request.plan = plan;
    Json::Value input;
    input["text"] = makeText(kind, plan);
    request.input = toCompactJson(input);
    request.inputDigest = contentDigest(request.input);
    caller_record &record = request.record;
    record.nonce = plan.nonce;
    record.workClass = kind.name;
    record.customer = kind.customer;
    record.pipeline = kind.pipeline;
    record.repeatable = kind.repeatable;
    record.identity = kind.identity;
    record.expectedStages = kind.stages;
    record.expectedStages.insert(record.expectedStages.end(), kind.models.begin(),
                                 kind.models.end());
    record.onceStages = kind.once;
    record.deadline = kind.deadline;
    record.begun = m_around.clock.now();
    request.deadlineAt = record.begun + kind.deadline;
    if (kind.identity == request_identity::Key)
        record.identityText = makeKey(m_around.clock, plan.nonce);
    proceed(number);
}

milliseconds load_caller::remaining(const open_request &request) const
{
    return std::chrono::duration_cast<milliseconds>(request.deadlineAt - m_around.clock.now());
}

// Sends the request where an entry VM is ready, or else waits for one.
void load_caller::proceed(std::size_t number)
{
    if (giveUp(number))
        return;
    open_request &request = m_open.at(number);
    const auto entry = m_around.entries.pick(request.entry);
    if (!entry) {
        retryLater(number);
        return;
    }
    request.entry = entry;
    if (request.record.identity == request_identity::Ticket && request.record.identityText.empty())
        fetchTicket(number, *entry);
    else
        send(number, *entry);
}

void load_caller::retryLater(std::size_t number)
{
    m_around.loop.callAfter(m_options.retryInterval, [this, number] {
        if (m_open.contains(number))
            proceed(number);
    });
}

// A caller that can have its fate told goes on asking for a while after its deadline.
bool load_caller::giveUp(std::size_t number)
{
    const open_request &request = m_open.at(number);
    const caller_record &record = request.record;
    const bool asks = record.identity != request_identity::None && !record.sends.empty();
    const milliseconds grace = asks ? m_options.grace : milliseconds{0};
    const bool over = remaining(request) + grace <= milliseconds{0};
    if (!over && record.sends.size() < m_options.maxSends)
        return false;
    const bool nothingLeft =
        std::all_of(record.sends.begin(), record.sends.end(), [](const caller_send &send) {
            return send.end == net::call_end::NotSent || send.outcome == "not_run";
        });
    if (nothingLeft)
        finish(number, caller_end::NotRun, "no_entry");
    else if (record.repeatable)
        finish(number, caller_end::Expired, "caller_gave_up");
    else
        finish(number, caller_end::Unknown, "caller_gave_up");
    return true;
}

void load_caller::fetchTicket(std::size_t number, const socket_address &entry)
{
    net::http_call call;
    call.address = entry;
    call.path = "/v1/tickets";
    call.headers = {{"content-type", "application/json"}};
    call.body = "{}";
    call.timeout = std::max(remaining(m_open.at(number)), AskingTime);
    startCall(number, std::move(call),
              [this, number](net::call_end end) { onTicket(number, end); });
}

void load_caller::onTicket(std::size_t number, net::call_end end)
{
    open_request &request = m_open.at(number);
    const auto json = parseJson(request.body);
    if (end == net::call_end::Complete && json && json->isObject()
        && (*json)["ticket"].isString()) {
        request.record.identityText = (*json)["ticket"].asString();
        send(number, *request.entry);
        return;
    }
    retryLater(number);
}

std::string load_caller::requestBody(const open_request &request) const
{
    const caller_record &record = request.record;
    Json::Value json;
    json["customer"] = record.customer;
    json["pipeline"] = record.pipeline;
    const milliseconds deadline = std::max(remaining(request), milliseconds{1});
    json["deadline_ms"] =
        Json::Int64{(record.sends.size() > 1 ? std::max(deadline, AskingTime) : deadline).count()};
    if (!record.repeatable)
        json["repeatable"] = false;
    if (record.identity == request_identity::Ticket)
        json["ticket"] = record.identityText;
    if (record.identity == request_identity::Key)
        json["idempotency_key"] = record.identityText;
    if (m_work.classes[request.plan.workClass].stream)
        json["stream"] = true;
    std::string body = toCompactJson(json);
    body.pop_back();
    return body + ",\"input\":" + request.input + "}";
}

void load_caller::send(std::size_t number, const socket_address &entry)
{
    open_request &request = m_open.at(number);
    caller_send send;
    send.entry = toText(entry);
    send.sent = m_around.clock.now();
    request.record.sends.push_back(send);
    net::http_call call;
    call.address = entry;
    call.path = "/v1/requests";
    call.headers = {{"content-type", "application/json"}};
    call.body = requestBody(request);
    call.connectTimeout = ConnectTimeout;
    call.timeout = std::max(remaining(request), AskingTime) + AskingTime;
    if (hurries(number, request)) {
        request.record.sends.back().hurried = true;
        call.timeout = m_options.hurry;
    }
    startCall(number, std::move(call), [this, number](net::call_end end) { onEnd(number, end); });
}

// Only the first send of a request, so that it comes to an end.
bool load_caller::hurries(std::size_t number, const open_request &request) const
{
    return m_options.hurryOneIn > 0 && number % m_options.hurryOneIn == 0
        && request.record.identity != request_identity::None && request.record.sends.size() == 1;
}

void load_caller::startCall(std::size_t number, net::http_call call,
                            std::function<void(net::call_end end)> onEnd)
{
    open_request &request = m_open.at(number);
    request.body.clear();
    request.streamed = false;
    net::call_events events;
    events.onHead = [this, number](int status, const net::header_list &headers) {
        open_request &answered = m_open.at(number);
        answered.streamed = isStream(headers);
        if (!answered.record.sends.empty())
            answered.record.sends.back().status = status;
    };
    events.onBody = [this, number](std::string_view bytes) { m_open.at(number).body += bytes; };
    events.onEnd = std::move(onEnd);
    request.call = m_around.client.start(std::move(call), std::move(events));
}

void load_caller::onEnd(std::size_t number, net::call_end end)
{
    open_request &request = m_open.at(number);
    caller_send &send = request.record.sends.back();
    send.end = end;
    send.ended = m_around.clock.now();
    std::optional<caller_answer> answer;
    if (request.streamed)
        answer = readStream(request.body, request.record);
    else if (end == net::call_end::Complete)
        answer = parseAnswer(request.body);
    if (answer && end == net::call_end::Complete) {
        send.request = answer->request;
        send.outcome = std::string(toName(answer->end));
        onAnswer(number, *answer);
        return;
    }
    if (end == net::call_end::Complete && !request.streamed)
        request.record.faults.push_back(answer_fault::Malformed);
    onBroken(number);
}

// A request is sent again where a second run does no harm, or where the system can tell that it is
// the same; else its fate can't be learnt.
void load_caller::onBroken(std::size_t number)
{
    const caller_record &record = m_open.at(number).record;
    const bool free = record.sends.back().end == net::call_end::NotSent;
    if (free || record.repeatable || record.identity != request_identity::None)
        retryLater(number);
    else
        finish(number, caller_end::Unknown, "connection_lost");
}

bool load_caller::sendsAgain(const open_request &request, const caller_answer &answer) const
{
    if (request.record.identity == request_identity::None)
        return answer.end == caller_end::NotRun
            && (answer.reason == "stopping" || answer.reason == "no_configuration");
    return m_options.sendAgainAfterAnswer && answer.end == caller_end::Answered
        && request.answeredOutput.empty() && remaining(request) > AskingTime;
}

void load_caller::onAnswer(std::size_t number, const caller_answer &answer)
{
    open_request &request = m_open.at(number);
    const bool again = sendsAgain(request, answer);
    if (!again && !request.answeredOutput.empty() && answer.end == caller_end::Answered
        && answer.output != request.answeredOutput)
        request.record.faults.push_back(answer_fault::Changed);
    if (again) {
        request.answeredOutput = answer.output;
        retryLater(number);
        return;
    }
    caller_record &record = request.record;
    record.request = answer.request;
    record.detail = answer.detail;
    record.stages = answer.stages;
    if (answer.end == caller_end::Answered) {
        const work_class &kind = m_work.classes[request.plan.workClass];
        const auto faults = checkOutput(
            answer.output, {record.nonce, request.inputDigest, kind.stages, kind.models});
        record.faults.insert(record.faults.end(), faults.begin(), faults.end());
    }
    finish(number, answer.end, answer.reason);
}

void load_caller::finish(std::size_t number, caller_end end, const std::string &reason)
{
    auto node = m_open.extract(number);
    caller_record &record = node.mapped().record;
    record.end = end;
    record.reason = reason;
    record.ended = m_around.clock.now();
    m_records.push_back(std::move(record));
    if (m_open.empty() && m_next == m_plan.size() && m_onFinished)
        m_onFinished();
}

} // namespace orchidlead::standins
