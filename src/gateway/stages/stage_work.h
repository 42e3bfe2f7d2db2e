#pragma once

#include "gateway/codec.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orchidlead::gateway {

/// Follows the pieces of one request's stages: which can be asked for, and which have results.
class stage_work
{
public:
    /// Nothing where the counts don't fit the route's stages.
    [[nodiscard]] static std::optional<stage_work> create(const route &way,
                                                          const request_marks &marks);

    /// One piece that can be asked for, with its service.
    struct ready_piece
    {
        service_id service;
        std::uint64_t inputBytes = 0; ///< about, of all inputs
        piece_request request;
    };

    /// Takes the pieces whose inputs are there and that weren't taken before. `stageTimes`: how
    /// long each stage takes, about. A stage that only the request itself waits for is left until
    /// the stages still to come take no longer than it: its results would only occupy room
    /// meanwhile.
    [[nodiscard]] std::vector<ready_piece>
    takeReady(const std::vector<std::chrono::microseconds> &stageTimes);
    /// Takes a result; tells whether it was the last one that its stage lacked.
    bool onResult(std::uint32_t stage, std::uint32_t piece, std::string handle);
    /// Results were lost: all is to be done again.
    void restart();

    [[nodiscard]] bool done() const { return m_missing == 0; }
    /// Handles of the stages that no other stage follows: the inputs of the request itself.
    [[nodiscard]] std::vector<std::string> inputs() const;
    [[nodiscard]] std::vector<std::string> allHandles() const;
    /// A stage's results that the request itself needs.
    struct stage_results
    {
        std::string handle; ///< of the first
        std::uint64_t bytes = 0; ///< about, of all
    };
    /// The largest of them, where there are any: the request runs best beside it.
    [[nodiscard]] std::optional<stage_results> largest() const;
    /// Results that nobody needs any more once `stage` is whole: those of the stages before it
    /// whose every follower is whole.
    [[nodiscard]] std::vector<std::string> takeSpent();

private:
    struct stage_state
    {
        stage_spec spec;
        std::vector<std::string> handles; ///< empty text: not there yet
        std::uint32_t missing = 0;
        bool taken = false;
        bool spent = false; ///< its results were given up
        bool followed = false; ///< another stage needs its results
    };

    /// The longest chain of stages that haven't been asked for and whose inputs aren't there.
    [[nodiscard]] std::chrono::microseconds
    timeToCome(const std::vector<std::chrono::microseconds> &stageTimes) const;
    [[nodiscard]] bool inputsReady(const stage_state &stage) const;
    [[nodiscard]] std::vector<std::string> inputsOf(const stage_state &stage) const;
    [[nodiscard]] std::uint64_t inputBytesOf(const stage_state &stage) const;

    std::vector<stage_state> m_stages;
    std::string m_attempt;
    std::string m_key;
    std::uint32_t m_missing = 0;
};

} // namespace orchidlead::gateway
