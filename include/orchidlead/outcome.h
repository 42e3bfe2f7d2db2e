#pragma once

#include <orchidlead/enum_names.h>

#include <array>

namespace orchidlead {

/// The closed set of ends that a request can have. Each is said only where the history proves it.
enum class outcome {
    Answered, ///< the whole answer is here
    NotRun, ///< refused, and nothing was dispatched on any node
    Failed, ///< something ran and there is no answer
    Unknown, ///< a call that may not be repeated was sent and its fate can't be learnt
    Expired, ///< the deadline passed after something was dispatched
};

template <>
inline constexpr std::array enumNames<outcome>{
    enum_name<outcome>{outcome::Answered, "answered"},
    enum_name<outcome>{outcome::NotRun, "not_run"},
    enum_name<outcome>{outcome::Failed, "failed"},
    enum_name<outcome>{outcome::Unknown, "unknown"},
    enum_name<outcome>{outcome::Expired, "expired"},
};

/// Why a request ended other than with an answer; part of the caller's interface.
enum class refusal_reason {
    None,
    InvalidRequest, ///< malformed, or unknown customer or pipeline
    TooLarge,
    DeadlineTooShort, ///< the stages can't be finished in time
    Overloaded, ///< queue or limit full
    NoBackendServer, ///< no usable backend server of a service
    NoConfiguration, ///< the node has no configuration yet
    Stopping, ///< the node is leaving
    KeyExpired, ///< the idempotency key or ticket is older than its window
    KeyInUse, ///< the key was already used, and its result can't be given again
    HomeUncertain, ///< no node can be sure to be the key's home now
    HomeUnreachable, ///< the node that holds the key or ticket can't be reached
    StageFailed,
    DeadlinePassed,
    Cancelled,
    Internal,
};

template <>
inline constexpr std::array enumNames<refusal_reason>{
    enum_name<refusal_reason>{refusal_reason::None, "none"},
    enum_name<refusal_reason>{refusal_reason::InvalidRequest, "invalid_request"},
    enum_name<refusal_reason>{refusal_reason::TooLarge, "too_large"},
    enum_name<refusal_reason>{refusal_reason::DeadlineTooShort, "deadline_too_short"},
    enum_name<refusal_reason>{refusal_reason::Overloaded, "overloaded"},
    enum_name<refusal_reason>{refusal_reason::NoBackendServer, "no_backend_server"},
    enum_name<refusal_reason>{refusal_reason::NoConfiguration, "no_configuration"},
    enum_name<refusal_reason>{refusal_reason::Stopping, "stopping"},
    enum_name<refusal_reason>{refusal_reason::KeyExpired, "key_expired"},
    enum_name<refusal_reason>{refusal_reason::KeyInUse, "key_in_use"},
    enum_name<refusal_reason>{refusal_reason::HomeUncertain, "home_uncertain"},
    enum_name<refusal_reason>{refusal_reason::HomeUnreachable, "home_unreachable"},
    enum_name<refusal_reason>{refusal_reason::StageFailed, "stage_failed"},
    enum_name<refusal_reason>{refusal_reason::DeadlinePassed, "deadline_passed"},
    enum_name<refusal_reason>{refusal_reason::Cancelled, "cancelled"},
    enum_name<refusal_reason>{refusal_reason::Internal, "internal"},
};

} // namespace orchidlead
