#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/quarantine/request_quarantine.h"
#include "wire/log.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Makes the request quarantines of all nodes one.
///
/// Every node tells one of them, the host, under which requests it saw servers end; the host
/// decides and tells all. It is held to nothing: each node keeps what it saw and what it was told,
/// and hands it to the next host. Nodes that are cut off have a host among themselves. As long as
/// no server ends, nothing is sent.
class quarantine_relay
{
public:
    using trial_handler = std::function<void(bool granted)>;

    quarantine_relay(http::io_loop &loop, peer_network &peers, wire::log &log);

    [[nodiscard]] request_quarantine::standing standingOf(const request_digest &request) const
    {
        return m_quarantine.standingOf(request);
    }
    /// This node saw a server end.
    void onServerEnd(const server_end &end);
    /// This node had the request served.
    void onServed(const request_digest &request);
    /// Asks whether a suspected request may be sent to one server; `answer` is called once, later.
    void askTrial(const request_digest &request, trial_handler answer);
    /// Ends a trial that was granted.
    void endTrial(const request_digest &request);

    /// Follows changes of the host and of the members; call every 100 ms or so.
    void tick();
    /// A frame about the quarantine; others are ignored.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct open_trial
    {
        trial_handler answer;
        http::timer_id timer = 0;
    };

    /// Who learnt what is passed on now.
    enum class origin {
        Here, ///< this node
        Member, ///< a node that takes this one for the host
        Host,
    };

    /// One start of a node: a later one knows nothing of what the earlier one was told.
    struct node_start
    {
        vm_id vm;
        incarnation number = 0; ///< 0: unknown

        friend bool operator==(const node_start &, const node_start &) = default;
    };
    struct told_member
    {
        incarnation number = 0;
        link_ptr link;
    };

    [[nodiscard]] node_start hostStart();
    [[nodiscard]] incarnation incarnationOf(const vm_id &vm) const;
    [[nodiscard]] bool isHost() { return m_peers.quarantineHost() == m_peers.self(); }
    [[nodiscard]] link_ptr linkToHost();
    void followHost();
    void tellMembers();
    void tellHost(const std::vector<server_end> &ends,
                  const std::vector<quarantine_entry> &entries);
    void publish(const std::vector<quarantine_entry> &entries, origin from);
    void decide();
    void onEnds(const server_ends_frame &frame);
    void onEntries(const quarantine_frame &frame);
    void onTrialRequest(const link_ptr &link, const request_digest &request);
    /// `link` is null where the host didn't answer in time.
    void onTrialAnswer(const link_ptr &link, const trial_answer &answer);
    void onTrialEnd(const link_ptr &link, const request_digest &request);
    void closeSilentLinks();
    [[nodiscard]] server_ends_frame makeFrame(const std::vector<server_end> &ends) const;
    [[nodiscard]] quarantine_frame makeFrame(const std::vector<quarantine_entry> &entries);
    /// `by`: who decided that; empty: unknown.
    void logEntry(const quarantine_entry &entry, std::string_view from, const vm_id &by);

    http::io_loop &m_loop;
    peer_network &m_peers;
    wire::log &m_log;
    request_quarantine m_quarantine;
    node_start m_host; ///< knows everything that this node knows; empty: nobody may
    link_ptr m_hostLink; ///< over which it was told
    std::map<vm_id, told_member> m_told; ///< members that were told all entries
    std::unordered_map<request_digest, std::vector<open_trial>> m_trials; ///< asked for
    std::unordered_map<request_digest, link_ptr> m_granting; ///< who granted a trial of this node
    std::map<link_ptr, std::set<request_digest>> m_granted; ///< trials of other nodes
    steady_time m_nextForget{};
};

} // namespace orchidlead::gateway
