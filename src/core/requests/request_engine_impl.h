#pragma once

// Definitions of basic_request_engine.

#include "core/requests/engine_admission_impl.h"
#include "core/requests/engine_attempts_impl.h"
#include "core/requests/engine_stages_impl.h"
#include "core/requests/engine_state.h"

namespace orchidlead {

template <class Policies>
basic_request_engine<Policies>::basic_request_engine(const engine_settings &settings,
                                                     const clock_source &clock, std::uint64_t seed)
    : m_state(std::make_unique<engine_state<Policies>>(settings, clock, seed))
{ }

template <class Policies>
basic_request_engine<Policies>::~basic_request_engine() = default;

template <class Policies>
void basic_request_engine<Policies>::setServices(std::uint64_t,
                                                 const std::vector<service> &services,
                                                 engine_actions &out)
{
    m_state->setServices(services, out);
}

template <class Policies>
void basic_request_engine<Policies>::setListedLeaving(const std::vector<backend_server_id> &servers,
                                                      engine_actions &out)
{
    m_state->setListedLeaving(servers, out);
}

template <class Policies>
void basic_request_engine<Policies>::onLoadReport(const load_report &report, engine_actions &out)
{
    m_state->onLoadReport(report, out);
}

template <class Policies>
void basic_request_engine<Policies>::submit(pipeline_request request, engine_actions &out)
{
    m_state->submit(std::move(request), out);
}

template <class Policies>
void basic_request_engine<Policies>::onSent(const attempt_key &key)
{
    m_state->onSent(key);
}

template <class Policies>
void basic_request_engine<Policies>::onChunk(const attempt_key &key, std::string text,
                                             engine_actions &out)
{
    m_state->onChunk(key, std::move(text), out);
}

template <class Policies>
void basic_request_engine<Policies>::onAnswer(const attempt_answer &answer, engine_actions &out)
{
    m_state->onAnswer(answer, out);
}

template <class Policies>
void basic_request_engine<Policies>::onFailure(const attempt_key &key, attempt_failure failure,
                                               std::optional<milliseconds> retryAfter,
                                               engine_actions &out)
{
    m_state->onFailure(key, failure, retryAfter, out);
}

template <class Policies>
void basic_request_engine<Policies>::cancel(const request_id &request, engine_actions &out)
{
    m_state->cancel(request, out);
}

template <class Policies>
void basic_request_engine<Policies>::tick(engine_actions &out)
{
    m_state->tick(out);
}

template <class Policies>
std::optional<steady_time> basic_request_engine<Policies>::nextWake() const
{
    return m_state->nextWake();
}

template <class Policies>
void basic_request_engine<Policies>::drain()
{
    m_state->drain();
}

template <class Policies>
bool basic_request_engine<Policies>::idle() const
{
    return m_state->idle();
}

template <class Policies>
engine_stats basic_request_engine<Policies>::stats() const
{
    return m_state->stats();
}

} // namespace orchidlead
