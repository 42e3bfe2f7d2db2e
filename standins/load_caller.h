#pragma once

#include "standins/answer_check.h"
#include "standins/caller_record.h"
#include "standins/entry_pool.h"
#include "standins/workload.h"

#include <orchidlead/clock.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace orchidlead::standins {

/// How callers behave.
struct load_caller_options
{
    milliseconds grace{3000}; ///< how long after its deadline a caller still asks for its fate
    milliseconds retryInterval{100}; ///< between tries to reach an entry VM
    std::uint32_t maxSends = 8; ///< of one request
    std::uint32_t hurryOneIn = 0; ///< one in so many sends with ticket or key; 0: none
    milliseconds hurry{40}; ///< until a hurried send is given up and sent again
    bool sendAgainAfterAnswer = false; ///< asks once more, and compares; with ticket or key only
};

/// Sends planned requests at their times, whatever becomes of the earlier ones, through a balancer
/// of its own; sends those again whose connection failed, and keeps a history.
class load_caller
{
public:
    struct surroundings
    {
        net::event_loop &loop;
        net::http_client &client;
        const clock_source &clock;
        entry_pool &entries;
    };

    load_caller(const surroundings &around, workload work, const load_caller_options &options);
    ~load_caller();
    load_caller(const load_caller &) = delete;
    load_caller &operator=(const load_caller &) = delete;

    /// Starts sending; `onFinished` is called when every request of the plan has ended.
    void start(std::vector<planned_request> plan, std::function<void()> onFinished);

    [[nodiscard]] const std::vector<caller_record> &records() const { return m_records; }
    [[nodiscard]] std::size_t open() const { return m_open.size(); }

private:
    /// One request that has not ended.
    struct open_request
    {
        planned_request plan;
        caller_record record;
        std::string input; ///< JSON
        std::string inputDigest;
        steady_time deadlineAt;
        std::optional<socket_address> entry; ///< of the last send
        net::call_id call = 0;
        std::string body; ///< of the answer that is arriving
        bool streamed = false; ///< the answer that is arriving is a stream
        std::string answeredOutput; ///< of the first answer, where it is asked for again
    };

    void sendDue();
    void begin(const planned_request &plan);
    void proceed(std::size_t number);
    void retryLater(std::size_t number);
    [[nodiscard]] bool giveUp(std::size_t number);
    void fetchTicket(std::size_t number, const socket_address &entry);
    void onTicket(std::size_t number, net::call_end end);
    void send(std::size_t number, const socket_address &entry);
    [[nodiscard]] bool hurries(std::size_t number, const open_request &request) const;
    void startCall(std::size_t number, net::http_call call,
                   std::function<void(net::call_end end)> onEnd);
    void onEnd(std::size_t number, net::call_end end);
    void onBroken(std::size_t number);
    void onAnswer(std::size_t number, const caller_answer &answer);
    [[nodiscard]] bool sendsAgain(const open_request &request, const caller_answer &answer) const;
    [[nodiscard]] std::string requestBody(const open_request &request) const;
    [[nodiscard]] milliseconds remaining(const open_request &request) const;
    void finish(std::size_t number, caller_end end, const std::string &reason);

    surroundings m_around;
    workload m_work;
    load_caller_options m_options;
    std::vector<planned_request> m_plan;
    std::size_t m_next = 0;
    steady_time m_startedAt;
    net::timer_id m_timer = 0;
    std::size_t m_lastNumber = 0;
    std::unordered_map<std::size_t, open_request> m_open;
    std::vector<caller_record> m_records;
    std::function<void()> m_onFinished;
};

} // namespace orchidlead::standins
