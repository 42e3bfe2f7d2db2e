#pragma once

#include "gateway/peers/peer_network.h"
#include "gateway/quarantine/request_quarantine.h"
#include "wire/log.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orchidlead::gateway {

/// Synchronizes the request quarantines of all nodes.
///
/// Every node reports to one node, the host, which requests were in flight when servers crashed.
/// The host decides and sends its decisions to all nodes. The host is replaceable at any time: each
/// node keeps what it detected and received, and sends it to the next host. In a network partition,
/// each side has a host of its own. Nothing is sent as long as no server crashes.
class quarantine_relay
{
public:
    using trial_handler = std::function<void(bool granted)>;

    quarantine_relay(http::io_loop &loop, peer_network &peers, wire::log &log);

    [[nodiscard]] request_quarantine::quarantine_status
    statusOf(const request_digest &request) const
    {
        return m_quarantine.statusOf(request);
    }
    /// Records that this node detected a server crash.
    void onServerCrash(const server_crash &crash);
    /// Records that a request through this node was served.
    void onRequestServed(const request_digest &request);
    /// Records that a server answered a request with the part of a prompt, beginning at `at`.
    void onPartServed(const request_digest &part, steady_time at);
    /// Sets the function that is called when a request or part is quarantined, here or elsewhere.
    void onQuarantined(std::function<void(const request_digest &)> handler)
    {
        m_onQuarantined = std::move(handler);
    }
    /// Asks the host whether a suspected request may be sent to one server. Calls `answer` exactly
    /// once, and not before this call returns.
    void requestTrial(const request_digest &request, trial_handler answer);
    /// Ends a trial that was granted to this node.
    void endTrial(const request_digest &request);

    /// Handles changes of the host and of the membership; to be called about every 100 ms.
    void tick();
    /// Handles frames about the quarantine and ignores all others.
    void onFrame(const std::shared_ptr<peer_link> &link, const peer_frame &frame);
    void onLinkClosed(const std::shared_ptr<peer_link> &link);

private:
    using link_ptr = std::shared_ptr<peer_link>;

    struct pending_trial
    {
        trial_handler answer;
        http::timer_id timer = 0;
    };

    /// Source of the entries that are published.
    enum class origin {
        Local, ///< this node
        Member, ///< a node that considers this node the host
        Host,
    };

    /// One start of a node. A node loses the information that it received when it restarts.
    struct node_instance
    {
        vm_id vm;
        incarnation incarnationNumber = 0; ///< 0: unknown

        friend bool operator==(const node_instance &, const node_instance &) = default;
    };
    struct synced_member
    {
        incarnation incarnationNumber = 0;
        link_ptr link;
    };

    [[nodiscard]] node_instance currentHost();
    [[nodiscard]] incarnation incarnationOf(const vm_id &vm) const;
    [[nodiscard]] bool isHost() { return m_peers.quarantineHost() == m_peers.self(); }
    [[nodiscard]] link_ptr linkToHost();
    void resyncWithHost();
    void syncNewMembers();
    void sendToHost(const std::vector<server_crash> &crashes,
                    const std::vector<quarantine_entry> &entries);
    void publish(const std::vector<quarantine_entry> &entries, origin from);
    void decide();
    void onServed(const std::optional<quarantine_entry> &changed);
    void reportQuarantined(const std::vector<quarantine_entry> &entries);
    void onServerEndsFrame(const server_crashes_frame &frame);
    void onQuarantineFrame(const quarantine_frame &frame);
    void onTrialRequest(const link_ptr &link, const request_digest &request);
    /// `link` is null if the host did not answer in time.
    void onTrialAnswer(const link_ptr &link, const trial_answer &answer);
    void onTrialEnd(const link_ptr &link, const request_digest &request);
    void closeUnresponsiveLinks();
    [[nodiscard]] server_crashes_frame makeFrame(const std::vector<server_crash> &crashes) const;
    [[nodiscard]] quarantine_frame makeFrame(const std::vector<quarantine_entry> &entries);
    /// `by` is the node that decided the entry; empty if unknown.
    void logEntry(const quarantine_entry &entry, std::string_view from, const vm_id &by);

    http::io_loop &m_loop;
    peer_network &m_peers;
    wire::log &m_log;
    request_quarantine m_quarantine;
    /// The host that has all information of this node; empty: possibly none.
    node_instance m_syncedHost;
    link_ptr m_hostLink; ///< link used for `m_syncedHost`
    std::map<vm_id, synced_member> m_syncedMembers; ///< members that have all entries
    /// Trials of this node that wait for an answer of the host.
    std::unordered_map<request_digest, std::vector<pending_trial>> m_pendingTrials;
    /// Links of the hosts that granted trials to this node.
    std::unordered_map<request_digest, link_ptr> m_ownTrialLinks;
    std::map<link_ptr, std::set<request_digest>> m_remoteTrials; ///< trials granted to other nodes
    steady_time m_nextExpiry{};
    std::function<void(const request_digest &)> m_onQuarantined;
};

} // namespace orchidlead::gateway
