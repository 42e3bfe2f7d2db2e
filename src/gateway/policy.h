#pragma once

#include <orchidlead/enum_names.h>

#include <array>
#include <cstdint>
#include <set>

namespace orchidlead::gateway {

/// Policies of a gateway that can be disabled one by one to measure the effect of each.
enum class policy : std::uint8_t {
    SplitPools, ///< a pool per data centre where a service has enough servers
    DataCenterReach, ///< detection of the loss of a whole data centre
    LateLeafStages, ///< stages whose results no other stage needs start last
    WaitForLocalServer, ///< pieces with large inputs wait for a server close to them
    ReportedWaits, ///< hosts report waits; requests that would be late are refused on arrival
    WholeRequestAdmission, ///< requests reserve a place at all their stages before they start
    PromptAffinity, ///< prompts that share long parts have a preferred data centre
    ResultRoom, ///< stage pools consider the storage of results: refusals, waits, whole groups
    FirstAnswerBySize, ///< the time to the first answer is estimated by the size of the prompt
    ServerSpeeds, ///< costs of engines are times at the rate at which each one reads prompts
    CustomerShares, ///< customers share the capacity of overloaded pools
    RetryTurns, ///< capacity is reserved for the return of refused requests
    PieceRedirection, ///< waiting pieces move to less loaded pools of their service
    SecondCalls, ///< pieces of overdue calls are computed a second time at another server
    SharedServerFailures, ///< nodes report failed servers to the hosts of their pools
    PromptHomesByHash, ///< a shared part of prompts has engines that all boards agree on
    PromptCopiesByRate, ///< a shared part is read by as many engines as its rate needs
};

/// The disabled policies.
using disabled_policies = std::set<policy>;

} // namespace orchidlead::gateway

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::gateway::policy>{
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::SplitPools,
                                                       "split_pools"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::DataCenterReach,
                                                       "data_center_reach"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::LateLeafStages,
                                                       "late_leaf_stages"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::WaitForLocalServer, "wait_for_near"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::ReportedWaits,
                                                       "told_waits"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::WholeRequestAdmission, "whole_request_admission"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::PromptAffinity,
                                                       "prompt_homes"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::ResultRoom,
                                                       "result_room"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::FirstAnswerBySize, "first_answer_by_size"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::ServerSpeeds,
                                                       "server_speeds"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::CustomerShares,
                                                       "customer_shares"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::RetryTurns,
                                                       "retry_turns"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::PieceRedirection, "piece_redirection"},
    orchidlead::enum_name<orchidlead::gateway::policy>{orchidlead::gateway::policy::SecondCalls,
                                                       "second_calls"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::SharedServerFailures, "shared_server_failures"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::PromptHomesByHash, "prompt_homes_by_hash"},
    orchidlead::enum_name<orchidlead::gateway::policy>{
        orchidlead::gateway::policy::PromptCopiesByRate, "prompt_copies_by_rate"},
};
