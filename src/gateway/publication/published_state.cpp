#include "gateway/publication/published_state.h"

#include "gateway/publication/list_digest.h"

#include <algorithm>
#include <map>
#include <utility>

namespace orchidlead::gateway {

namespace {

template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

using what = publication_news::what;

// Of news of one kind that come together so many are told one by one.
constexpr std::size_t MostToldSingly = 24;

// The list of thousands of servers that a node reads at its start would be as many log lines.
std::vector<publication_news> shortened(std::vector<publication_news> news)
{
    std::map<what, std::size_t> counts;
    for (const auto &each : news)
        ++counts[each.kind];
    std::erase_if(counts, [](const auto &entry) { return entry.second <= MostToldSingly; });
    if (counts.empty())
        return news;
    std::erase_if(news, [&](const auto &each) { return counts.contains(each.kind); });
    for (const auto &[kind, count] : counts)
        news.push_back({kind, std::to_string(count), "at once"});
    return news;
}

} // namespace

published_state::published_state(const clock_source &clock, server_directory &directory,
                                 milliseconds removalDelay)
    : m_clock(clock)
    , m_directory(directory)
    , m_removalDelay(removalDelay)
{ }

std::vector<publication_news> published_state::apply(const std::vector<published_item> &items)
{
    return shortened(applyAll(items));
}

std::vector<publication_news> published_state::applyAll(const std::vector<published_item> &items)
{
    std::vector<publication_news> news;
    for (const auto &item : items)
        applyOne(item, news);
    return news;
}

void published_state::applyOne(const published_item &item, std::vector<publication_news> &news)
{
    std::visit(overloaded{
                   [&](const published_server &each) { takeServer(each, news); },
                   [&](const removed_server &each) { takeRemoval(each.id, news); },
                   [&](const published_configuration &each) { takeConfiguration(each, news); },
                   [&](const published_evacuation &each) { takeEvacuation(each, news); },
                   [&](const unreadable_item &each) {
                       news.push_back({what::Unreadable, each.key, each.what});
                   },
               },
               item);
}

std::vector<publication_news> published_state::applyList(const std::vector<published_item> &items)
{
    std::set<std::uint32_t> all;
    for (std::uint32_t part = 0; part < ListParts; ++part)
        all.insert(part);
    return applyParts(items, all);
}

std::vector<publication_news> published_state::applyParts(const std::vector<published_item> &items,
                                                          const std::set<std::uint32_t> &parts)
{
    auto news = applyAll(items);
    std::set<backend_server_id> present;
    for (const auto &item : items) {
        if (const auto *each = std::get_if<published_server>(&item))
            present.insert(each->record.id);
    }
    for (const auto &each : m_directory.all()) {
        const auto &id = each->record.id;
        if (!present.contains(id) && parts.contains(static_cast<std::uint32_t>(partOf(id))))
            takeRemoval(id, news);
    }
    m_listed = true;
    m_heardAt = m_clock.now();
    return shortened(std::move(news));
}

void published_state::takeServer(const published_server &told, std::vector<publication_news> &news)
{
    const auto &record = told.record;
    m_deferred.erase(record.id);
    const auto known = m_directory.find(record.id);
    const bool wasLeaving = known && known->record.leaving;
    const bool wasCold = known && known->cold(m_clock.now());
    m_directory.put(record, told.coldFor);
    if (!known)
        news.push_back({what::ServerAdded, record.id.value, record.service.value});
    if (told.coldFor > milliseconds{0} && !wasCold)
        news.push_back({what::ServerCold, record.id.value,
                        "for " + std::to_string(told.coldFor.count()) + " ms"});
    if (record.leaving && !wasLeaving)
        news.push_back({what::ServerLeaving, record.id.value, record.service.value});
}

void published_state::takeRemoval(const backend_server_id &id, std::vector<publication_news> &news)
{
    const auto known = m_directory.find(id);
    if (!known)
        return;
    if (m_clock.now() < m_deferUntil) {
        if (m_deferred.emplace(id, m_deferUntil).second)
            news.push_back({what::RemovalDeferred, id.value, known->record.service.value});
        return;
    }
    m_deferred.erase(id);
    m_directory.remove(id);
    news.push_back({what::ServerRemoved, id.value, known->record.service.value});
}

void published_state::takeConfiguration(const published_configuration &published,
                                        std::vector<publication_news> &news)
{
    const auto version = published.content.version;
    if (m_configuration && version <= m_configuration->version()) {
        if (version < m_configuration->version())
            news.push_back({what::ConfigurationOlder, std::to_string(version), {}});
        return;
    }
    m_configuration = std::make_shared<const configuration_index>(published.content);
    m_configurationText = published.text;
    news.push_back({what::ConfigurationInForce, std::to_string(version),
                    std::to_string(published.content.routes.size()) + " routes"});
    if (m_onConfiguration)
        m_onConfiguration(m_configuration);
}

void published_state::takeEvacuation(const published_evacuation &change,
                                     std::vector<publication_news> &news)
{
    const auto before = m_evacuations.list().dataCenters;
    if (m_evacuations.onChange(change.dataCenter, change.evacuated, change.revision))
        onEvacuations(before, news);
}

std::vector<publication_news> published_state::takeEvacuations(const evacuation_list &list)
{
    std::vector<publication_news> news;
    const auto before = m_evacuations.list().dataCenters;
    if (m_evacuations.take(list))
        onEvacuations(before, news);
    return news;
}

std::vector<publication_news>
published_state::applyOperations(const std::vector<published_item> &items, std::uint64_t revision)
{
    evacuation_list list{revision, {}};
    std::vector<published_item> others;
    for (const auto &item : items) {
        if (const auto *each = std::get_if<published_evacuation>(&item))
            list.dataCenters.insert(each->dataCenter);
        else
            others.push_back(item);
    }
    auto news = takeEvacuations(list);
    std::ranges::move(applyAll(others), std::back_inserter(news));
    return news;
}

void published_state::onEvacuations(const std::set<data_center_id> &before,
                                    std::vector<publication_news> &news)
{
    const auto &list = m_evacuations.list();
    const auto tell = [&](what kind, const data_center_id &dataCenter) {
        m_directory.setEvacuated(dataCenter, kind == what::DataCenterEvacuated);
        news.push_back({kind, dataCenter.value, "revision " + std::to_string(list.revision)});
    };
    for (const auto &each : list.dataCenters) {
        if (!before.contains(each))
            tell(what::DataCenterEvacuated, each);
    }
    for (const auto &each : before) {
        if (!list.dataCenters.contains(each))
            tell(what::DataCenterReturned, each);
    }
}

void published_state::onStoreLost()
{
    m_lost = true;
}

void published_state::onStoreBack()
{
    m_heardAt = m_clock.now();
    if (std::exchange(m_lost, false))
        m_deferUntil = m_clock.now() + m_removalDelay;
}

void published_state::deferRemovals(milliseconds time)
{
    m_deferUntil = std::max(m_deferUntil, m_clock.now() + std::min(time, m_removalDelay));
}

milliseconds published_state::removalsDeferred() const
{
    const auto left = std::chrono::duration_cast<milliseconds>(m_deferUntil - m_clock.now());
    return std::max(milliseconds{0}, left);
}

std::vector<publication_news> published_state::tick()
{
    std::vector<publication_news> news;
    std::erase_if(m_deferred, [&](const auto &each) {
        const auto &[id, due] = each;
        if (m_clock.now() < due)
            return false;
        if (const auto known = m_directory.find(id)) {
            m_directory.remove(id);
            news.push_back({what::ServerRemoved, id.value, known->record.service.value});
        }
        return true;
    });
    return shortened(std::move(news));
}

} // namespace orchidlead::gateway
