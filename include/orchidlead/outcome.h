#pragma once

#include <orchidlead/enum_names.h>

#include <array>

namespace orchidlead {

/// How a request ended. A node reports an outcome only if the events that it recorded prove it.
enum class outcome {
    Answered, ///< the answer is complete
    NotRun, ///< refused, and dispatched by no node
    Failed, ///< something ran, and no answer is available
    /// A non-repeatable call may have been dispatched, and whether it ran cannot be determined.
    Unknown,
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

/// Why a request ended without an answer; part of the interface for callers.
enum class refusal_reason {
    None,
    InvalidRequest, ///< malformed, or unknown customer or pipeline
    TooLarge,
    DeadlineTooShort, ///< the stages cannot finish in time
    Overloaded, ///< queue or limit full
    NoBackendServer, ///< no usable backend server of a service
    NoConfiguration, ///< the node has no configuration yet
    Stopping, ///< the node is shutting down
    KeyExpired, ///< the key or ticket is past its window
    KeyInUse, ///< the key was used, and its answer is unavailable
    HomeUncertain, ///< no node is certain to be the key's home
    /// The node that decides about the key or ticket cannot be reached.
    HomeUnreachable,
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
