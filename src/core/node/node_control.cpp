#include "core/node/node_control.h"

#include <algorithm>
#include <utility>

namespace orchidlead {

namespace {

template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

constexpr milliseconds ConfirmationReportInterval{500};

bool changesMembers(const membership_action &action)
{
    return std::holds_alternative<member_changed>(action)
        || std::holds_alternative<member_removed>(action);
}

} // namespace

node_control::node_control(const control_options &options, const clock_source &clock,
                           published_configuration_manager::validator validate)
    : m_members(clock, options.members)
    , m_manager(clock, options.manager, std::move(validate))
{ }

void node_control::setVmList(std::uint64_t version, const std::vector<listed_vm> &vms,
                             control_actions &out)
{
    feedMembers([&](auto &actions) { m_members.setVmList(version, vms, actions); }, out);
    reportMembers(out);
}

void node_control::onListConfirmed(std::uint64_t version, control_actions &out)
{
    m_members.confirmVmList(version);
    reportMembers(out);
}

void node_control::onDatagram(const socket_address &from, std::string_view bytes,
                              control_actions &out)
{
    feedMembers([&](auto &actions) { m_members.onDatagram(from, bytes, actions); }, out);
}

void node_control::onConfigurationServiceRead(service_call_id call, std::uint64_t version,
                                              std::string content, control_actions &out)
{
    feedManager(
        [&](auto &actions) {
            m_manager.onConfigurationServiceRead(call, version, std::move(content), actions);
        },
        out);
}

void node_control::onConfigurationServiceUnchanged(service_call_id call, control_actions &out)
{
    feedManager([&](auto &actions) { m_manager.onConfigurationServiceUnchanged(call, actions); },
                out);
}

void node_control::onConfigurationServiceFailed(service_call_id call, control_actions &out)
{
    feedManager([&](auto &actions) { m_manager.onConfigurationServiceFailed(call, actions); }, out);
}

void node_control::onPeerContent(const vm_id &vm, std::uint64_t version, std::string content,
                                 control_actions &out)
{
    feedManager(
        [&](auto &actions) { m_manager.onPeerContent(vm, version, std::move(content), actions); },
        out);
}

void node_control::onPeerFailed(const vm_id &vm, control_actions &out)
{
    feedManager([&](auto &actions) { m_manager.onPeerFailed(vm, actions); }, out);
}

void node_control::tick(control_actions &out)
{
    feedMembers([&](auto &actions) { m_members.tick(actions); }, out);
    feedManager([&](auto &actions) { m_manager.tick(actions); }, out);
    // Peers confirm the VM list too, and no action reports that.
    if (confirmedAt() >= m_reportedConfirmation + ConfirmationReportInterval)
        reportMembers(out);
}

steady_time node_control::confirmedAt() const
{
    return m_members.vmListConfirmedAt().value_or(steady_time{});
}

void node_control::detectPause(control_actions &out)
{
    feedMembers([&](auto &actions) { m_members.detectPause(actions); }, out);
}

void node_control::announceLeaving(control_actions &out)
{
    feedMembers([&](auto &actions) { m_members.announceLeaving(actions); }, out);
}

void node_control::announceStopped(control_actions &out)
{
    feedMembers([&](auto &actions) { m_members.announceStopped(actions); }, out);
}

void node_control::handleActions(const membership_actions &actions, control_actions &out)
{
    // Members first, because the manager's handling of a peer's report depends on them.
    if (std::any_of(actions.begin(), actions.end(), changesMembers))
        reportMembers(out);
    for (const auto &action : actions) {
        std::visit(overloaded{
                       [](const member_removed &) {},
                       [&](const peer_report &report) {
                           feedManager(
                               [&](auto &next) {
                                   m_manager.onPeerVersion(report.vm, report.configuration,
                                                           report.probeSentAt, next);
                               },
                               out);
                       },
                       [&](const paused &pause) {
                           out.emplace_back(pause);
                           feedManager([&](auto &next) { m_manager.onPaused(next); }, out);
                       },
                       [&](const auto &other) { out.emplace_back(other); },
                   },
                   action);
    }
}

void node_control::handleActions(published_configuration_manager::actions &actions,
                                 control_actions &out)
{
    for (auto &action : actions) {
        std::visit(overloaded{
                       [&](const probe_peers &ask) {
                           feedMembers([&](auto &next) { m_members.probeNow(ask.count, next); },
                                       out);
                       },
                       [&](const adopt_configuration<published_configuration> &adopted) {
                           m_members.setConfiguration(adopted.stamp);
                           out.emplace_back(adopted);
                           if (adopted.announce)
                               feedMembers([&](auto &next) { m_members.announce(next); }, out);
                       },
                       [&](const auto &other) { out.emplace_back(other); },
                   },
                   action);
    }
}

void node_control::reportMembers(control_actions &out)
{
    m_reportedConfirmation = confirmedAt();
    auto members = m_members.members();
    m_manager.setMembers(members);
    out.emplace_back(members_updated{std::move(members), confirmedAt()});
}

} // namespace orchidlead
