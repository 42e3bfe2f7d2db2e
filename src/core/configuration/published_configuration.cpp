#include "core/configuration/published_configuration.h"

#include <algorithm>

namespace orchidlead {

const customer_pipeline *customer_settings::findPipeline(const pipeline_id &id) const
{
    const auto found = std::find_if(pipelines.begin(), pipelines.end(),
                                    [&](const customer_pipeline &each) { return each.id == id; });
    return found == pipelines.end() ? nullptr : &*found;
}

const data_center *published_configuration::findDataCenter(const data_center_id &id) const
{
    const auto found = std::find_if(dataCenters.begin(), dataCenters.end(),
                                    [&](const data_center &each) { return each.id == id; });
    return found == dataCenters.end() ? nullptr : &*found;
}

const service *published_configuration::findService(const service_id &id) const
{
    const auto found = m_serviceIndex.find(id);
    return found == m_serviceIndex.end() ? nullptr : &services[found->second];
}

const backend_server *published_configuration::findServer(const backend_server_id &id) const
{
    const auto found = m_serverIndex.find(id);
    if (found == m_serverIndex.end())
        return nullptr;
    return &services[found->second.service].servers[found->second.server];
}

const service *published_configuration::findServiceOf(const backend_server_id &id) const
{
    const auto found = m_serverIndex.find(id);
    return found == m_serverIndex.end() ? nullptr : &services[found->second.service];
}

const pipeline_template *published_configuration::findTemplate(const template_id &id) const
{
    const auto found = m_templateIndex.find(id);
    return found == m_templateIndex.end() ? nullptr : &templates[found->second];
}

// Customers are found by binary search. A hash table of 21,000 customers would cost each node about
// 1 MB and save less than a microsecond per request.
const customer *published_configuration::findCustomer(const customer_id &id) const
{
    const auto found = std::lower_bound(
        customers.begin(), customers.end(), id,
        [](const customer &each, const customer_id &key) { return each.id < key; });
    return found == customers.end() || found->id != id ? nullptr : &*found;
}

void published_configuration::buildIndex()
{
    std::sort(customers.begin(), customers.end(),
              [](const customer &left, const customer &right) { return left.id < right.id; });
    for (std::uint32_t i = 0; i < services.size(); ++i) {
        m_serviceIndex.emplace(services[i].id, i);
        for (std::uint32_t j = 0; j < services[i].servers.size(); ++j)
            m_serverIndex.emplace(services[i].servers[j].id, server_position{i, j});
    }
    for (std::uint32_t i = 0; i < templates.size(); ++i)
        m_templateIndex.emplace(templates[i].id, i);
}

} // namespace orchidlead
