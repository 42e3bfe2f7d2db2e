#pragma once

#include <orchidlead/ids.h>

#include <sys/types.h>

#include <optional>
#include <string>

namespace orchidlead::standins {

/// Gives the inode of the TCP socket of this machine (IPv4) that has these ends.
[[nodiscard]] std::optional<std::string> findSocket(const socket_address &local,
                                                    const socket_address &remote);

/// Tells whether the process has that socket open.
[[nodiscard]] bool hasSocket(pid_t pid, const std::string &socket);

} // namespace orchidlead::standins
