#pragma once

#include "gateway/codec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Tracks the progress of one request's stages: which pieces can be submitted, and which have
/// results.
class stage_progress
{
public:
    /// Creates the state for a request; nothing if its piece counts don't match the route's stages
    /// or are too high, or if a stage depends on one that doesn't exist.
    [[nodiscard]] static std::optional<stage_progress> create(const route &stagedRoute,
                                                              const request_metadata &metadata);

    /// A piece that can be submitted, with its service.
    struct ready_piece
    {
        service_id service;
        std::uint64_t inputBytes = 0; ///< approximate total of all inputs
        piece_request request;
    };

    /// Returns the pieces whose inputs are complete and that weren't returned before. `stageTimes`
    /// holds the estimated duration of each stage. A stage without dependents is deferred until the
    /// remaining stages take no longer than itself: until then its results would only occupy room.
    [[nodiscard]] std::vector<ready_piece>
    takeReadyPieces(const std::vector<std::chrono::microseconds> &stageTimes);
    /// Returns one piece of a stage whose pieces were returned before, to be submitted again.
    [[nodiscard]] ready_piece makePiece(std::uint32_t stage, std::uint32_t piece) const;
    /// Records a result; returns whether it completes its stage.
    bool onResult(std::uint32_t stage, std::uint32_t piece, std::string handle);
    /// Resets all stages after results were lost.
    void restart();

    [[nodiscard]] bool done() const { return m_missing == 0; }
    /// Returns the handles of the stages without dependents, which are the inputs of the request
    /// itself.
    [[nodiscard]] std::vector<std::string> inputs() const;
    [[nodiscard]] std::vector<std::string> allHandles() const;
    /// Results of one stage that are inputs of the request itself.
    struct stage_results
    {
        std::string handle; ///< of the first result
        std::uint64_t bytes = 0; ///< approximate total
    };
    /// Returns the largest of these results, if there are any: the request runs best near them.
    [[nodiscard]] std::optional<stage_results> largest() const;
    /// Returns the handles that are no longer needed and weren't returned before: the results of
    /// stages all of whose dependents are complete.
    [[nodiscard]] std::vector<std::string> takeUnneededHandles();

private:
    struct stage_state
    {
        stage_spec spec;
        std::vector<std::string> handles; ///< empty while the result is missing
        std::uint32_t missing = 0;
        bool submitted = false;
        bool spent = false; ///< its results were returned by `takeUnneededHandles`
        bool hasDependents = false; ///< another stage has its results as inputs
    };

    /// Returns the duration of the longest chain of stages that are neither submitted nor ready.
    [[nodiscard]] std::chrono::microseconds
    remainingChainTime(const std::vector<std::chrono::microseconds> &stageTimes) const;
    [[nodiscard]] bool inputsReady(const stage_state &stage) const;
    [[nodiscard]] std::vector<std::string> inputsOf(const stage_state &stage) const;
    [[nodiscard]] std::uint64_t inputBytesOf(const stage_state &stage) const;

    std::vector<stage_state> m_stages;
    std::string m_attempt;
    std::string m_key;
    std::uint32_t m_missing = 0;
};

} // namespace orchidlead::gateway
