#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace orchidlead {

/// Typed identifier: ids with different tags are distinct types.
template <class Tag>
struct strong_id
{
    std::string value;

    strong_id() = default;
    explicit strong_id(std::string text)
        : value(std::move(text))
    { }

    [[nodiscard]] bool empty() const { return value.empty(); }
    // clang-tidy 14 mistakes the generated comparison with 0 for one with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const strong_id &, const strong_id &) = default;
};

using vm_id = strong_id<struct vm_id_tag>;
using region_id = strong_id<struct region_id_tag>;
using data_center_id = strong_id<struct data_center_id_tag>;
using customer_id = strong_id<struct customer_id_tag>;
using backend_server_id = strong_id<struct backend_server_id_tag>;
using service_id = strong_id<struct service_id_tag>;
/// Version of the software that a backend server runs. Versions are equal or different; they have
/// no order.
using software_version = strong_id<struct software_version_tag>;
using template_id = strong_id<struct template_id_tag>;
using pipeline_id = strong_id<struct pipeline_id_tag>;
using stage_id = strong_id<struct stage_id_tag>;

/// Identifies a request in the whole system: `<vm>-<incarnation>-<sequence>`.
using request_id = strong_id<struct request_id_tag>;

/// Identifies one of the processes started on the same VM; a unique number set at process start.
using incarnation = std::uint64_t;

/// Identifies an attempt at a stage of a request. Every answer is matched against it.
struct attempt_key
{
    request_id request;
    std::uint32_t stage = 0; ///< index of the stage in the pipeline
    std::uint32_t attempt = 0; ///< 1 for the first attempt

    // NOLINTNEXTLINE(modernize-use-nullptr): mistaken for a comparison with a null pointer
    friend auto operator<=>(const attempt_key &, const attempt_key &) = default;
};

/// IP address and port. Host names are never resolved.
struct socket_address
{
    std::string ip;
    std::uint16_t port = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): mistaken for a comparison with a null pointer
    friend auto operator<=>(const socket_address &, const socket_address &) = default;
};

} // namespace orchidlead

template <class Tag>
struct std::hash<orchidlead::strong_id<Tag>>
{
    std::size_t operator()(const orchidlead::strong_id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <>
struct std::hash<orchidlead::attempt_key>
{
    std::size_t operator()(const orchidlead::attempt_key &key) const noexcept
    {
        constexpr std::size_t StageBits = 16;
        const std::size_t low = (std::size_t{key.stage} << StageBits) ^ key.attempt;
        return std::hash<std::string>{}(key.request.value) ^ (low * 0x9e3779b97f4a7c15ULL);
    }
};
