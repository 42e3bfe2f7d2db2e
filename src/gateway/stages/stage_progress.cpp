#include "gateway/stages/stage_progress.h"

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Maximum number of pieces in one stage of a request, far above that of any published route.
constexpr std::uint32_t MaxPieces = 10'000;

} // namespace

std::optional<stage_progress> stage_progress::create(const route &stagedRoute,
                                                     const request_metadata &metadata)
{
    if (metadata.pieceCounts.size() != stagedRoute.stages.size())
        return std::nullopt;
    stage_progress created;
    created.m_attempt = metadata.attempt;
    created.m_key = metadata.pieceKey;
    for (std::size_t i = 0; i < stagedRoute.stages.size(); ++i) {
        if (metadata.pieceCounts[i] > MaxPieces)
            return std::nullopt;
        stage_state state;
        state.spec = stagedRoute.stages[i];
        state.handles.resize(metadata.pieceCounts[i]);
        state.missing = metadata.pieceCounts[i];
        created.m_missing += state.missing;
        created.m_stages.push_back(std::move(state));
    }
    for (const auto &each : stagedRoute.stages) {
        for (const std::size_t dependency : each.after) {
            if (dependency >= created.m_stages.size())
                return std::nullopt;
            created.m_stages[dependency].hasDependents = true;
        }
    }
    return created;
}

bool stage_progress::inputsReady(const stage_state &stage) const
{
    return std::ranges::all_of(stage.spec.after, [&](std::size_t dependency) {
        return m_stages[dependency].missing == 0;
    });
}

std::vector<std::string> stage_progress::inputsOf(const stage_state &stage) const
{
    std::vector<std::string> inputs;
    for (const std::size_t dependency : stage.spec.after) {
        const auto &handles = m_stages[dependency].handles;
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

std::uint64_t stage_progress::inputBytesOf(const stage_state &stage) const
{
    std::uint64_t bytes = 0;
    for (const std::size_t dependency : stage.spec.after)
        bytes += m_stages[dependency].spec.resultBytes * m_stages[dependency].handles.size();
    return bytes;
}

// Stages are ordered after those that they depend on, so one pass is enough.
std::chrono::microseconds
stage_progress::remainingChainTime(const std::vector<std::chrono::microseconds> &stageTimes) const
{
    std::vector<std::chrono::microseconds> ends(m_stages.size(), std::chrono::microseconds{0});
    std::chrono::microseconds longest{0};
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        const auto &stage = m_stages[i];
        if (stage.submitted || inputsReady(stage) || stage.missing == 0)
            continue;
        for (const std::size_t dependency : stage.spec.after)
            ends[i] = std::max(ends[i], ends[dependency]);
        ends[i] += stageTimes[i];
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

std::vector<stage_progress::ready_piece>
stage_progress::takeReadyPieces(const std::vector<std::chrono::microseconds> &stageTimes)
{
    std::vector<ready_piece> ready;
    const auto remainingTime = remainingChainTime(stageTimes);
    for (std::uint32_t i = 0; i < m_stages.size(); ++i) {
        auto &stage = m_stages[i];
        if (stage.submitted || !inputsReady(stage))
            continue;
        if (!stage.hasDependents && remainingTime > stageTimes[i])
            continue;
        stage.submitted = true;
        for (std::uint32_t piece = 0; piece < stage.handles.size(); ++piece)
            ready.push_back(makePiece(i, piece));
    }
    return ready;
}

stage_progress::ready_piece stage_progress::makePiece(std::uint32_t stage,
                                                      std::uint32_t piece) const
{
    const auto &state = m_stages[stage];
    ready_piece created;
    created.service = state.spec.service;
    created.request.attempt = m_attempt;
    created.request.stage = stage;
    created.request.piece = piece;
    if (state.spec.after.empty())
        created.request.key = m_key;
    else {
        created.request.inputs = inputsOf(state);
        created.inputBytes = inputBytesOf(state);
    }
    return created;
}

bool stage_progress::onResult(std::uint32_t stage, std::uint32_t piece, std::string handle)
{
    auto &state = m_stages[stage];
    if (handle.empty() || !state.handles[piece].empty())
        return false;
    state.handles[piece] = std::move(handle);
    --m_missing;
    return --state.missing == 0;
}

void stage_progress::restart()
{
    m_missing = 0;
    for (auto &stage : m_stages) {
        std::ranges::fill(stage.handles, std::string{});
        stage.missing = static_cast<std::uint32_t>(stage.handles.size());
        stage.submitted = false;
        stage.spent = false;
        m_missing += stage.missing;
    }
}

std::vector<std::string> stage_progress::inputs() const
{
    std::vector<std::string> handles;
    for (const auto &stage : m_stages) {
        if (!stage.hasDependents)
            handles.insert(handles.end(), stage.handles.begin(), stage.handles.end());
    }
    return handles;
}

std::vector<std::string> stage_progress::allHandles() const
{
    std::vector<std::string> handles;
    for (const auto &stage : m_stages) {
        if (stage.spent)
            continue;
        std::ranges::copy_if(stage.handles, std::back_inserter(handles),
                             [](const std::string &each) { return !each.empty(); });
    }
    return handles;
}

std::optional<stage_progress::stage_results> stage_progress::largest() const
{
    std::optional<stage_results> best;
    for (const auto &stage : m_stages) {
        if (stage.hasDependents || stage.handles.empty() || stage.handles.front().empty())
            continue;
        const std::uint64_t bytes = stage.spec.resultBytes * stage.handles.size();
        if (!best || bytes > best->bytes)
            best = stage_results{stage.handles.front(), bytes};
    }
    return best;
}

std::vector<std::string> stage_progress::takeUnneededHandles()
{
    std::vector<std::string> spent;
    for (std::size_t i = 0; i < m_stages.size(); ++i) {
        auto &stage = m_stages[i];
        if (!stage.hasDependents || stage.spent || stage.missing > 0)
            continue;
        const bool needed = std::ranges::any_of(m_stages, [&](const stage_state &other) {
            return other.missing > 0
                && std::ranges::find(other.spec.after, i) != other.spec.after.end();
        });
        if (needed)
            continue;
        stage.spent = true;
        spent.insert(spent.end(), stage.handles.begin(), stage.handles.end());
    }
    return spent;
}

} // namespace orchidlead::gateway
