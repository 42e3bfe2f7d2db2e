#pragma once

#include <orchidlead/clock.h>
#include <orchidlead/ids.h>
#include <orchidlead/result.h>

#include <functional>
#include <string>
#include <string_view>

namespace orchidlead::ctl {

/// One call to a node.
struct api_request
{
    socket_address address;
    std::string method = "GET";
    std::string path; ///< with the query
    std::string body; ///< JSON
    milliseconds timeout{5000};
    /// Gets the parts of a streamed answer (`text/event-stream`) as they come; may be empty.
    std::function<void(std::string_view)> onStream;
};

struct api_answer
{
    int status = 0;
    std::string body; ///< empty for a stream
};

/// Says why there is no whole answer.
struct api_error
{
    std::string what;
};

/// Makes one call and waits for its end.
using api_call = std::function<result<api_answer, api_error>(const api_request &)>;

} // namespace orchidlead::ctl
