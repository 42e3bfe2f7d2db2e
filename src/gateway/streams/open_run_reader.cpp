#include "gateway/streams/open_run_reader.h"

#include <orchidlead/rendezvous.h>

#include <algorithm>

namespace orchidlead::gateway {

namespace {

// Servers that a node asks for reports at most, as all nodes may start at the same time.
constexpr std::size_t MaxReportsRead = 32;

} // namespace

std::vector<server_ptr> serversToReport(const std::vector<server_ptr> &servers, const vm_id &self,
                                        const data_center_id &dataCenter)
{
    auto nearest = servers;
    const auto count = std::min(MaxReportsRead, nearest.size());
    std::ranges::partial_sort(nearest, nearest.begin() + static_cast<std::ptrdiff_t>(count), {},
                              [&](const server_ptr &each) {
                                  const auto &record = each->record;
                                  return std::pair(record.dataCenter != dataCenter,
                                                   rendezvousWeight(self.value, record.id.value));
                              });
    nearest.resize(count);
    return nearest;
}

} // namespace orchidlead::gateway
