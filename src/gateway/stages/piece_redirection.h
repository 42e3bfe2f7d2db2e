#pragma once

#include "gateway/publication/configuration.h"
#include "gateway/stages/pool_load_table.h"
#include "gateway/stages/stage_rank.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace orchidlead::gateway {

/// Waiting pieces of one stage of a request that may be redirected to another pool.
struct waiting_group
{
    std::vector<std::uint64_t> tokens; ///< of its pieces, as `piece_token`
    stage_rank rank;
    milliseconds wait{0}; ///< expected until its last piece begins, in its own pool
    milliseconds softDeadlineLeft{0}; ///< negative: missed
    data_center_id inputsIn; ///< data centre of its inputs
    std::uint64_t inputBytes = 0; ///< approximate total
    std::uint64_t resultBytes = 0; ///< approximate total
};

/// Groups that are redirected to one pool.
struct piece_redirection
{
    pool_key to;
    std::vector<std::uint64_t> tokens; ///< of the pieces, as `piece_token`
    std::size_t groups = 0;
    std::uint64_t resultBytes = 0; ///< approximate total
    milliseconds longestWait{0}; ///< expected in the own pool, of these groups
    milliseconds reportedWait{0}; ///< longest wait in the other pool by its report
    milliseconds reportAge{0};
};

/// Chooses the groups that begin sooner in another pool of the service, by more than a full call
/// including the transfer of their inputs and results. Groups that miss their `softDeadline` in
/// their own pool alone come first, then those with the most to gain and the least to transfer.
[[nodiscard]] std::vector<piece_redirection>
chooseRedirections(const std::vector<waiting_group> &groups,
                   const std::vector<redirection_target> &targets, const stage_capacity &capacity);

} // namespace orchidlead::gateway
