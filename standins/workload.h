#pragma once

#include <orchidlead/enum_names.h>
#include <orchidlead/result.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead::standins {

using std::chrono::milliseconds;

/// By what a caller lets its request be recognised when it sends it again.
enum class request_identity {
    None,
    Ticket, ///< fetched from the entry VM before the request
    Key, ///< made by the caller
};

/// Requests of one kind.
struct work_class
{
    std::string name;
    std::string customer;
    std::string pipeline;
    double rate = 1.0; ///< arrivals a second
    std::uint32_t bytes = 200; ///< median length of the text
    double sigma = 0.5; ///< of the logarithm of the length
    std::uint32_t maxBytes = 4U << 20U;
    std::uint32_t prefixes = 0; ///< how many texts begin the requests' texts; 0: none
    std::uint32_t prefixBytes = 0; ///< length of each such beginning
    milliseconds deadline{4000};
    bool repeatable = true;
    request_identity identity = request_identity::None;
    bool stream = false;
    std::vector<std::string> stages; ///< stages that must have left their mark on the answer
    std::vector<std::string> models; ///< models that must have
    std::vector<std::string> once; ///< stages that must run at most once; empty: all of them
};

/// A time in which arrivals come faster.
struct work_burst
{
    milliseconds at{0};
    milliseconds length{0};
    double factor = 2.0;
};

/// What is sent.
struct workload
{
    std::vector<work_class> classes;
    std::vector<work_burst> bursts;
};

/// Says what is wrong with a workload file.
struct workload_error
{
    std::string what;
};

/// Reads the YAML of standins/README.md.
[[nodiscard]] result<workload, workload_error> parseWorkload(std::string_view yaml);

/// One request that will be sent.
struct planned_request
{
    std::chrono::microseconds at{0}; ///< since the start
    std::size_t workClass = 0; ///< index in the workload
    std::uint32_t bytes = 0;
    std::string nonce; ///< 16 hex digits, unique in the plan
    std::uint32_t prefix = 0; ///< which beginning
};

/// Bounds of a plan; a bound of 0 does not bind.
struct plan_bounds
{
    milliseconds length{0};
    std::size_t requests = 0;
};

/// Draws arrivals (Poisson, by class), sizes and nonces; the same seed gives the same plan.
[[nodiscard]] std::vector<planned_request>
planArrivals(const workload &work, const plan_bounds &bounds, std::uint64_t seed);

/// Writes the text of a request's input, nonce included.
[[nodiscard]] std::string makeText(const work_class &kind, const planned_request &request);

} // namespace orchidlead::standins

template <>
inline constexpr std::array orchidlead::enumNames<orchidlead::standins::request_identity>{
    orchidlead::enum_name<orchidlead::standins::request_identity>{
        orchidlead::standins::request_identity::None, "none"},
    orchidlead::enum_name<orchidlead::standins::request_identity>{
        orchidlead::standins::request_identity::Ticket, "ticket"},
    orchidlead::enum_name<orchidlead::standins::request_identity>{
        orchidlead::standins::request_identity::Key, "key"},
};
