#pragma once

#include "wire/configuration_service_client.h"
#include "wire/json_text.h"

#include <orchidlead/clock.h>
#include <orchidlead/enum_names.h>
#include <orchidlead/ids.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// What the nodes say to each other over TCP, and the forms in which it travels.
namespace orchidlead::wire {

inline constexpr std::string_view RpcPath = "/rpc";
inline constexpr std::string_view ForwardPath = "/forward";

inline constexpr std::string_view FetchConfigurationMethod = "configuration.fetch";
inline constexpr std::string_view GateMessageMethod = "gate.message";

/// Tells an answer of a node's request handler from one of the HTTP layer, which didn't run it.
inline constexpr std::string_view ForwardAnswerType = "application/vnd.orchidlead.answer+json";

/// Asks for the configuration in force, of at least that version.
struct configuration_fetch
{
    std::uint64_t version = 0;
};

/// Carries bytes from one node's at-most-once gate to another's.
struct gate_message
{
    vm_id from;
    std::string bytes;
};

/// The peer has passed the bytes to its at-most-once gate.
struct gate_message_taken
{ };

/// Hands a caller's request to the node that decides about its ticket or key.
struct forward_request
{
    vm_id origin;
    milliseconds remaining{0};
    std::string call; ///< the caller's body as it came
};

/// The answer as the caller is to get it.
struct forward_answer
{
    int status = 0; ///< of HTTP
    std::string body; ///< JSON
};

[[nodiscard]] Json::Value toJson(const configuration_fetch &message);
[[nodiscard]] std::optional<configuration_fetch> parseConfigurationFetch(const Json::Value &value);

[[nodiscard]] Json::Value toJson(const configuration_content &message);
[[nodiscard]] std::optional<configuration_content>
parseConfigurationContent(const Json::Value &value);

[[nodiscard]] Json::Value toJson(const gate_message &message);
[[nodiscard]] std::optional<gate_message> parseGateMessage(const Json::Value &value);

/// Writes what travels beside the body: `origin=<vm>&remaining_ms=<n>`.
[[nodiscard]] std::string composeForwardQuery(const forward_request &request);
/// Reads such a query and takes over the body; nothing where the query isn't of that form.
[[nodiscard]] std::optional<forward_request> parseForward(std::string_view query, std::string body);

} // namespace orchidlead::wire
