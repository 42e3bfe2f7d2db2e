#include "gateway/publication/configuration.h"

#include <algorithm>
#include <utility>

namespace orchidlead::gateway {

namespace {

std::string hostOf(std::string_view authority)
{
    std::string host(authority.substr(0, authority.find(':')));
    std::ranges::transform(host, host.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return host;
}

} // namespace

configuration_index::configuration_index(configuration content)
    : m_content(std::move(content))
{
    for (const auto &each : m_content.routes)
        m_hosts[each.host].push_back(&each);
    for (auto &[host, routes] : m_hosts) {
        std::ranges::stable_sort(routes, [](const route *a, const route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const auto &customer : m_content.customers) {
        for (const auto &key : customer.keys)
            m_keys.emplace(key, &customer);
    }
    for (const auto &service : m_content.services)
        m_services.emplace(service.id, &service);
}

const route *configuration_index::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(hostOf(host));
    if (found == m_hosts.end())
        return nullptr;
    for (const auto *each : found->second) {
        if (path.starts_with(each->pathPrefix))
            return each;
    }
    return nullptr;
}

const customer_spec *configuration_index::findCustomer(std::string_view key) const
{
    const auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : found->second;
}

const service_spec *configuration_index::findService(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

} // namespace orchidlead::gateway
