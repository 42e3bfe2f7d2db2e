#include "wire/server_poller.h"

#include <orchidlead/rendezvous.h>

namespace orchidlead::wire {

std::vector<backend_server> pickPolled(const std::vector<backend_server> &servers,
                                       const vm_id &self, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    weights.reserve(servers.size());
    for (std::size_t at = 0; at < servers.size(); ++at)
        weights.emplace_back(rendezvousWeight(self.value, servers[at].id.value), at);
    std::sort(weights.begin(), weights.end(), std::greater<>{});
    weights.resize(std::min(count, weights.size()));
    std::vector<backend_server> picked;
    picked.reserve(weights.size());
    for (const auto &[weight, at] : weights)
        picked.push_back(servers[at]);
    return picked;
}

std::size_t polledCount(const server_poller_options &options, std::size_t servers,
                        std::size_t nodes)
{
    if (nodes == 0)
        return std::min(options.maxServers, servers);
    const std::size_t share = options.pollersOfServer * servers / nodes;
    return std::min(std::max(options.maxServers, share), servers);
}

} // namespace orchidlead::wire
