#include "tests/core/at_most_once_simulation.h"

#include <algorithm>
#include <utility>

namespace orchidlead::testing {

namespace {

constexpr milliseconds ClockSkew{200};
constexpr milliseconds Lease{2'000};
constexpr milliseconds Renewal{600};
constexpr milliseconds MaxListAge{6'000};
constexpr milliseconds MaxListLag{1'000};
constexpr milliseconds ListMemory{15'000};
constexpr milliseconds Window{20'000};
constexpr milliseconds TickInterval{200};
constexpr milliseconds ListInterval{1'000};
constexpr milliseconds Deadline{4'000};
const data_center_id OwnDataCenter{"dc"};

class node_clock final : public clock_source
{
public:
    node_clock(const milliseconds &trueTime, milliseconds offset, milliseconds skew)
        : m_true(trueTime)
        , m_offset(offset)
        , m_skew(skew)
    { }

    [[nodiscard]] steady_time now() const override { return steady_time{m_true + m_offset}; }
    [[nodiscard]] wall_time wallNow() const override
    {
        return wall_time{std::chrono::hours{24 * 365 * 50} + m_true + m_skew};
    }
    void setSkew(milliseconds skew) { m_skew = skew; }

private:
    const milliseconds &m_true;
    milliseconds m_offset;
    milliseconds m_skew;
};

struct process
{
    vm_id vm;
    incarnation number = 0;
    std::unique_ptr<node_clock> clock;
    std::unique_ptr<any_gate> gate;
    bool alive = true;
    bool pauseBeforeSend = false;
    bool leaving = false;
    milliseconds pausedUntil{0};
    milliseconds platformUnreachableUntil{0};
    milliseconds listLag{0};
    /// Only peers in the same network partition can be reached.
    int partitionId = 0;
    bool isolated = false; ///< replaced, and unreachable for all peers
};

struct call
{
    std::string name; ///< text of the ticket or key
    bool isTicket = false;
    int runs = 0;
    bool reportedNotRun = false;
};

struct queued_event
{
    milliseconds at;
    std::uint64_t order;
    std::function<void()> action;
};

struct runs_later
{
    bool operator()(const queued_event &a, const queued_event &b) const
    {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

class simulation
{
public:
    simulation(const simulation_settings &settings, const gate_factory &makeGate)
        : m_settings(settings)
        , m_makeGate(makeGate)
        , m_random(settings.seed)
    { }

    simulation_result run();

private:
    using process_ptr = std::shared_ptr<process>;

    int draw(int below) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(below)); }
    bool chance(double rate)
    {
        return static_cast<double>(m_random() % 1'000'000) < rate * 1'000'000;
    }
    milliseconds drawTime(milliseconds below) { return milliseconds{draw(int(below.count()) + 1)}; }

    void at(milliseconds when, std::function<void()> action);
    void atProcess(milliseconds when, const process_ptr &on, std::function<void()> action);
    void reportViolation(const std::string &what, const call &of);

    process_ptr start(const vm_id &vm);
    process_ptr running(const vm_id &vm);
    process_ptr listedProcess(std::uint32_t target);
    void publishList();
    void refreshList(const process_ptr &on);
    member memberSeen(const process_ptr &by, const vm_id &vm);
    bool connected(const process &a, const process &b) const;

    void tick(const process_ptr &on);
    void sendPeer(const process_ptr &from, const std::vector<peer_message> &messages);

    void newCall();
    void sendCall(std::size_t index, milliseconds after);
    void request(const process_ptr &on, std::size_t index, bool forwarded);
    void check(const process_ptr &on, std::size_t index, record_handle record);
    void send(const process_ptr &on, std::size_t index, record_handle record);
    void finish(const process_ptr &on, std::size_t index, record_handle record, outcome ended);
    void recordOutcome(std::size_t index, outcome ended);

    void apply(const fault &what);
    void replace(const process_ptr &old, bool keepsRunning);
    void replaceMajority(milliseconds length);
    void partition(milliseconds length);
    void leave(const process_ptr &on);

    simulation_settings m_settings;
    const gate_factory &m_makeGate;
    std::mt19937_64 m_random;
    milliseconds m_now{100'000};
    std::uint64_t m_order = 0;
    std::priority_queue<queued_event, std::vector<queued_event>, runs_later> m_queue;
    std::vector<process_ptr> m_processes; // includes ended ones, whose messages may still arrive
    std::vector<vm_id> m_listed;
    std::vector<std::pair<milliseconds, std::vector<vm_id>>> m_lists; // published, oldest first
    std::vector<call> m_calls;
    std::uint64_t m_nextVm = 1;
    incarnation m_nextIncarnation = 1;
    simulation_result m_result;
};

void simulation::at(milliseconds when, std::function<void()> action)
{
    m_queue.push({when, m_order++, std::move(action)});
}

// An action of a paused process is deferred until the process resumes.
void simulation::atProcess(milliseconds when, const process_ptr &on, std::function<void()> action)
{
    at(when, [this, on, action = std::move(action)] {
        if (!on->alive)
            return;
        if (on->pausedUntil > m_now)
            atProcess(on->pausedUntil, on, action);
        else
            action();
    });
}

void simulation::reportViolation(const std::string &what, const call &of)
{
    if (m_result.violation.empty())
        m_result.violation = what + ": " + of.name + " at " + std::to_string(m_now.count()) + " ms";
}

simulation::process_ptr simulation::start(const vm_id &vm)
{
    auto started = std::make_shared<process>();
    started->vm = vm;
    started->number = m_nextIncarnation++;
    const auto skew = drawTime(ClockSkew) - ClockSkew / 2;
    started->clock = std::make_unique<node_clock>(m_now, drawTime(milliseconds{100'000}), skew);
    started->listLag = drawTime(MaxListLag);
    at_most_once_settings settings;
    settings.vm = vm;
    settings.incarnation = started->number;
    settings.dataCenter = OwnDataCenter;
    settings.window = Window;
    settings.clockSkew = ClockSkew;
    settings.lease = Lease;
    settings.renewal = Renewal;
    settings.maxListAge = MaxListAge;
    settings.listMemory = ListMemory;
    settings.maxRecords = 300;
    settings.maxAnswerBytes = 2'000;
    settings.maxTickets = 300;
    started->gate = m_makeGate(settings, *started->clock);
    m_processes.push_back(started);
    refreshList(started);
    tick(started);
    return started;
}

simulation::process_ptr simulation::running(const vm_id &vm)
{
    for (auto each = m_processes.rbegin(); each != m_processes.rend(); ++each) {
        if ((*each)->vm == vm && (*each)->alive)
            return *each;
    }
    return nullptr;
}

simulation::process_ptr simulation::listedProcess(std::uint32_t target)
{
    return running(m_listed[target % m_listed.size()]);
}

void simulation::publishList()
{
    m_lists.emplace_back(m_now, m_listed);
}

bool simulation::connected(const process &a, const process &b) const
{
    return a.partitionId == b.partitionId && !a.isolated && !b.isolated;
}

member simulation::memberSeen(const process_ptr &by, const vm_id &vm)
{
    member seen;
    seen.vm.vm = vm;
    seen.vm.dataCenter = OwnDataCenter;
    seen.listed = true;
    const auto other = running(vm);
    const bool reached = other && connected(*by, *other) && other->pausedUntil <= m_now;
    seen.state = reached != chance(0.05) ? member_state::Alive : member_state::Suspect;
    return seen;
}

void simulation::refreshList(const process_ptr &on)
{
    if (!on->isolated && on->platformUnreachableUntil <= m_now) {
        const auto *list = &m_lists.front().second;
        for (const auto &[since, vms] : m_lists) {
            if (since + on->listLag <= m_now)
                list = &vms;
        }
        std::vector<member> members;
        for (const auto &vm : *list)
            members.push_back(memberSeen(on, vm));
        on->gate->setMembers(members, on->clock->now());
    }
    atProcess(m_now + ListInterval, on, [this, on] { refreshList(on); });
}

void simulation::tick(const process_ptr &on)
{
    std::vector<peer_message> out;
    on->gate->tick(out);
    sendPeer(on, out);
    atProcess(m_now + TickInterval, on, [this, on] { tick(on); });
}

void simulation::sendPeer(const process_ptr &from, const std::vector<peer_message> &messages)
{
    for (const auto &message : messages) {
        m_result.peerBytes += message.bytes.size();
        const int copies = chance(m_settings.lossRate) ? 0
            : chance(m_settings.duplicationRate)       ? 2
                                                       : 1;
        for (int i = 0; i < copies; ++i) {
            const bool slow = chance(m_settings.delayRate);
            const auto delay = drawTime(slow ? milliseconds{6'000} : milliseconds{30});
            at(m_now + delay, [this, from, message] {
                const auto to = running(message.to);
                if (!to || !connected(*from, *to))
                    return;
                atProcess(m_now, to, [this, from, to, message] {
                    std::vector<peer_message> replies;
                    to->gate->onPeerMessage(from->vm, message.bytes, replies);
                    sendPeer(to, replies);
                });
            });
        }
    }
}

// Callers issue keys by their own clocks, within the bound on the skew. They resend until up to two
// windows after the first request, to any running process.
void simulation::newCall()
{
    call made;
    made.isTicket = draw(4) == 0;
    if (made.isTicket) {
        const auto minter = listedProcess(static_cast<std::uint32_t>(draw(1'000)));
        const auto minted = minter ? minter->gate->mintTicket() : std::nullopt;
        if (!minted)
            return;
        made.name = *minted;
    } else {
        const auto skew = drawTime(ClockSkew) - ClockSkew / 2;
        // One key in twelve has a time of issue up to 3 s in the future. This must break no
        // invariant.
        const auto clockError = draw(12) == 0 ? drawTime(milliseconds{3'000}) : milliseconds{0};
        const auto issued = std::chrono::hours{24 * 365 * 50} + m_now + skew + clockError;
        const auto count = std::chrono::duration_cast<milliseconds>(issued).count();
        made.name = std::to_string(count) + "-call" + std::to_string(10'000 + m_calls.size());
    }
    m_calls.push_back(made);
    ++m_result.calls;
    const std::size_t index = m_calls.size() - 1;
    sendCall(index, milliseconds{0});
    for (int resends = draw(5); resends > 0; --resends) {
        const bool soon = draw(3) != 0;
        sendCall(index, drawTime(soon ? Deadline * 2 : Window * 2));
    }
}

void simulation::sendCall(std::size_t index, milliseconds after)
{
    const int copies = chance(m_settings.duplicationRate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const auto delay = drawTime(i > 0 ? m_settings.maxRequestDelay : milliseconds{20});
        at(m_now + after + delay, [this, index] {
            std::vector<process_ptr> reachable;
            for (const auto &each : m_processes) {
                if (each->alive)
                    reachable.push_back(each);
            }
            if (reachable.empty())
                return;
            const auto target = reachable[m_random() % reachable.size()];
            atProcess(m_now, target, [this, target, index] { request(target, index, false); });
        });
    }
}

void simulation::request(const process_ptr &on, std::size_t index, bool forwarded)
{
    non_repeatable_request asked;
    asked.customer = customer_id{"saare"};
    asked.homeDataCenter = OwnDataCenter;
    (m_calls[index].isTicket ? asked.ticket : asked.key) = m_calls[index].name;
    asked.digest = index;
    asked.deadline = on->clock->now() + Deadline;
    asked.forwarded = forwarded;
    const auto verdict = on->gate->onRequest(asked);
    if (const auto *here = std::get_if<run_locally>(&verdict)) {
        const auto record = here->record;
        atProcess(m_now + drawTime(milliseconds{500}), on,
                  [this, on, index, record] { check(on, index, record); });
    } else if (const auto *answer = std::get_if<return_stored_answer>(&verdict)) {
        ++m_result.repeatedAnswers;
        recordOutcome(index, answer->answer.outcome);
    } else if (const auto *refused = std::get_if<refuse_call>(&verdict)) {
        recordOutcome(index, refused->outcome);
    } else if (const auto *forward = std::get_if<forward_to>(&verdict)) {
        const auto to = running(forward->vm);
        if (to && connected(*on, *to)) {
            const auto delay = drawTime(chance(0.05) ? milliseconds{8'000} : milliseconds{20});
            atProcess(m_now + delay, to, [this, to, index] { request(to, index, true); });
        } else {
            recordOutcome(index, outcome::Unknown);
        }
    }
}

void simulation::check(const process_ptr &on, std::size_t index, record_handle record)
{
    const bool refuses = draw(10) == 0; // as an overloaded engine does
    if (refuses || !on->gate->mayDispatch(record)) {
        finish(on, index, record, outcome::NotRun);
        return;
    }
    if (on->pauseBeforeSend) {
        on->pauseBeforeSend = false;
        on->pausedUntil = m_now + drawTime(Lease * 4);
    }
    atProcess(m_now, on, [this, on, index, record] { send(on, index, record); });
}

void simulation::send(const process_ptr &on, std::size_t index, record_handle record)
{
    call &sent = m_calls[index];
    on->gate->onDispatched(record);
    ++m_result.runs;
    if (++sent.runs > 1)
        reportViolation("run twice", sent);
    if (sent.reportedNotRun)
        reportViolation("run after not_run", sent);
    atProcess(m_now + drawTime(milliseconds{800}), on,
              [this, on, index, record] { finish(on, index, record, outcome::Answered); });
}

void simulation::finish(const process_ptr &on, std::size_t index, record_handle record,
                        outcome ended)
{
    final_answer answer;
    answer.outcome = ended;
    if (ended == outcome::Answered)
        answer.output = std::make_shared<const std::string>("\"done\"");
    on->gate->onFinished(record, answer);
    recordOutcome(index, ended);
}

void simulation::recordOutcome(std::size_t index, outcome ended)
{
    call &affected = m_calls[index];
    m_result.unknown += ended == outcome::Unknown ? 1 : 0;
    if (ended != outcome::NotRun)
        return;
    ++m_result.notRun;
    affected.reportedNotRun = true;
    if (affected.runs > 0)
        reportViolation("not_run reported for a call that ran", affected);
}

void simulation::replace(const process_ptr &old, bool keepsRunning)
{
    if (keepsRunning)
        old->isolated = true;
    else
        old->alive = false;
    const vm_id name{"vm" + std::to_string(m_nextVm++)};
    std::replace(m_listed.begin(), m_listed.end(), old->vm, name);
    publishList();
    start(name);
}

// The replaced VMs form a partition of their own, and keep the VM list from before.
void simulation::replaceMajority(milliseconds length)
{
    const std::size_t most = m_listed.size() / 2 + 1;
    const auto before = m_listed;
    for (std::size_t i = 0; i < most; ++i) {
        const auto old = running(before[i]);
        if (!old)
            continue;
        replace(old, true);
        old->isolated = false;
        old->partitionId = 2;
        old->platformUnreachableUntil = std::chrono::hours{1};
        at(m_now + length, [old] { old->alive = false; });
    }
}

void simulation::partition(milliseconds length)
{
    for (const auto &vm : m_listed) {
        const auto each = running(vm);
        const int partitionId = draw(2);
        if (!each || each->partitionId == 2)
            continue;
        each->partitionId = partitionId;
        at(m_now + length, [each] {
            if (each->partitionId != 2)
                each->partitionId = 0;
        });
    }
}

void simulation::leave(const process_ptr &on)
{
    if (on->leaving)
        return;
    on->leaving = true;
    on->gate->startKeyHandover();
    at(m_now + milliseconds{6'000}, [this, on] {
        if (on->alive && std::find(m_listed.begin(), m_listed.end(), on->vm) != m_listed.end())
            replace(on, false);
    });
}

void simulation::apply(const fault &what)
{
    const auto target = listedProcess(what.target);
    if (!target)
        return;
    const auto length = milliseconds{1'000} * static_cast<int>(what.length);
    switch (what.kind) {
    case fault_kind::Restart:
        target->alive = false;
        at(m_now + drawTime(milliseconds{2'000}), [this, vm = target->vm] {
            if (std::find(m_listed.begin(), m_listed.end(), vm) != m_listed.end() && !running(vm))
                start(vm);
        });
        break;
    case fault_kind::Replace:
        replace(target, false);
        break;
    case fault_kind::ReplaceIsolated:
        replace(target, true);
        at(m_now + length * 2, [target] { target->alive = false; });
        break;
    case fault_kind::ReplaceMajority:
        replaceMajority(length * 2);
        break;
    case fault_kind::Pause:
        target->pausedUntil = m_now + length;
        break;
    case fault_kind::PauseBeforeSend:
        target->pauseBeforeSend = true;
        break;
    case fault_kind::Partition:
        partition(length);
        break;
    case fault_kind::PlatformUnreachable:
        target->platformUnreachableUntil = m_now + length;
        break;
    case fault_kind::Leave:
        leave(target);
        break;
    case fault_kind::SkewClock:
        target->clock->setSkew(drawTime(ClockSkew) - ClockSkew / 2);
        break;
    }
}

simulation_result simulation::run()
{
    const auto begin = m_now;
    for (std::uint32_t i = 0; i < m_settings.vms; ++i)
        m_listed.emplace_back("vm" + std::to_string(m_nextVm++));
    publishList();
    for (const auto &vm : m_listed)
        start(vm);
    for (const auto &what : m_settings.faults)
        at(begin + std::chrono::seconds{what.second}, [this, what] { apply(what); });
    const auto calls = std::uint64_t{m_settings.seconds} * m_settings.callsPerSecond;
    for (std::uint64_t i = 0; i < calls; ++i)
        at(begin + drawTime(std::chrono::seconds{m_settings.seconds}), [this] { newCall(); });
    const auto end = begin + std::chrono::seconds{m_settings.seconds};
    while (!m_queue.empty() && m_result.violation.empty() && m_queue.top().at <= end) {
        const auto next = m_queue.top();
        m_queue.pop();
        m_now = next.at;
        ++m_result.events;
        next.action();
    }
    return m_result;
}

} // namespace

simulation_result runSimulation(const simulation_settings &settings, const gate_factory &makeGate)
{
    return simulation{settings, makeGate}.run();
}

} // namespace orchidlead::testing
