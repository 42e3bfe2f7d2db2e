#include "core/configuration/parse_parameters.h"
#include "core/configuration/parse_template.h"
#include "core/configuration/published_configuration.h"
#include "core/settings/yaml_document.h"
#include "core/settings/yaml_reader.h"

#include <algorithm>
#include <string>
#include <unordered_set>

/// The format is described in docs/CONFIGURATION.md.
namespace orchidlead {

namespace {

constexpr std::int64_t FormatVersion = 1;
constexpr std::size_t MaxDataCenters = 64;
constexpr std::size_t MaxServices = 256;
constexpr std::size_t MaxServersPerService = 4096;
constexpr std::size_t MaxModelsPerService = 256;
constexpr std::size_t MaxTemplates = 256;
constexpr std::size_t MaxCustomers = 100'000;
constexpr std::size_t MaxPipelinesPerCustomer = 64;
constexpr std::int64_t MaxWeight = 1000;
constexpr std::int64_t MaxCustomerLimit = 1'000'000;

/// Reads names that must be unique within one or several lists.
class unique_names
{
public:
    explicit unique_names(std::string_view itemKind)
        : m_itemKind(itemKind)
    { }

    /// Reads the value of `key` as a name that has not occurred before.
    std::optional<std::string> read(mapping_reader &mapping, std::string_view key)
    {
        const auto found = mapping.find(key, presence::Required);
        return found ? read(*found) : std::nullopt;
    }

    std::optional<std::string> read(const value_reader &reader)
    {
        auto name = reader.name();
        if (name && !m_earlierNames.insert(*name).second) {
            reader.fail("a name that no other " + std::string(m_itemKind) + " has");
            return std::nullopt;
        }
        return name;
    }

private:
    std::string_view m_itemKind;
    std::unordered_set<std::string> m_earlierNames;
};

/// Parses the lists of the document; each list refers only to those parsed before it.
class published_configuration_parser
{
public:
    published_configuration_parser(published_configuration &configuration)
        : m_configuration(configuration)
    { }

    void parse(const value_reader &root)
    {
        mapping_reader mapping(root);
        if (const auto format = mapping.find("format", presence::Required))
            (void)format->integer({FormatVersion, FormatVersion});
        parseDataCenters(mapping);
        parseServices(mapping);
        parseTemplates(mapping);
        // Customers refer to all other lists, whose errors would cause further errors here.
        const auto customers = mapping.find("customers", presence::Required);
        if (!customers || !root.errors().empty())
            return;
        customers->forEach(0, MaxCustomers,
                           [&](const value_reader &each) { parseCustomerEntry(each); });
    }

private:
    void parseDataCenters(mapping_reader &mapping)
    {
        const auto list = mapping.find("data_centers", presence::Required);
        if (!list)
            return;
        unique_names names("data centre");
        list->forEach(1, MaxDataCenters, [&](const value_reader &each) {
            mapping_reader entry(each);
            data_center &added = m_configuration.dataCenters.emplace_back();
            if (auto name = names.read(entry, "name"))
                added.id = data_center_id(std::move(*name));
            entry.read("region", presence::Required, added.region, &value_reader::name);
        });
    }

    std::optional<data_center_id> readDataCenter(const value_reader &reader) const
    {
        const auto name = reader.name();
        if (!name)
            return std::nullopt;
        data_center_id id(*name);
        if (m_configuration.findDataCenter(id) != nullptr)
            return id;
        reader.fail("the name of a data centre in `data_centers`");
        return std::nullopt;
    }

    void parseServices(mapping_reader &mapping)
    {
        const auto list = mapping.find("services", presence::Required);
        if (!list)
            return;
        list->forEach(1, MaxServices, [&](const value_reader &each) { parseService(each); });
    }

    void parseService(const value_reader &reader)
    {
        mapping_reader mapping(reader);
        service &added = m_configuration.services.emplace_back();
        if (auto name = m_serviceNames.read(mapping, "name"))
            added.id = service_id(std::move(*name));
        mapping.read("kind", presence::Required, added.kind,
                     &value_reader::enumerator<service_kind>);
        added.repeatable = added.kind != service_kind::Plain;
        mapping.read("repeatable", presence::Optional, added.repeatable, &value_reader::boolean);
        parseModels(mapping, added);
        if (const auto servers = mapping.find("servers", presence::Required)) {
            servers->forEach(0, MaxServersPerService,
                             [&](const value_reader &each) { parseServer(each, added); });
        }
    }

    static void parseModels(mapping_reader &mapping, service &target)
    {
        const bool isEngine = target.kind == service_kind::Engine;
        const auto models =
            mapping.find("models", isEngine ? presence::Required : presence::Optional);
        if (!models)
            return;
        if (!isEngine) {
            models->fail("no models: only the kind engine has them");
            return;
        }
        unique_names names("model of this service");
        models->forEach(1, MaxModelsPerService, [&](const value_reader &each) {
            if (auto name = names.read(each))
                target.models.push_back(std::move(*name));
        });
    }

    void parseServer(const value_reader &reader, service &target)
    {
        mapping_reader mapping(reader);
        backend_server &added = target.servers.emplace_back();
        if (auto name = m_serverNames.read(mapping, "name"))
            added.id = backend_server_id(std::move(*name));
        mapping.read("address", presence::Required, added.address,
                     [&](const value_reader &each) { return readUniqueAddress(each, target); });
        mapping.read("data_center", presence::Required, added.dataCenter,
                     [&](const value_reader &each) { return readDataCenter(each); });
    }

    // A process may serve two services, but with two entries in one service it would receive twice
    // its share of the calls.
    static std::optional<socket_address> readUniqueAddress(const value_reader &reader,
                                                           const service &target)
    {
        auto address = reader.address();
        const auto &servers = target.servers;
        const bool duplicate = address
            && std::any_of(servers.begin(), servers.end(),
                           [&](const backend_server &each) { return each.address == *address; });
        if (!duplicate)
            return address;
        reader.fail("an address that no other backend server of this service has");
        return std::nullopt;
    }

    void parseTemplates(mapping_reader &mapping)
    {
        const auto list = mapping.find("templates", presence::Required);
        if (!list)
            return;
        unique_names names("template");
        list->forEach(0, MaxTemplates, [&](const value_reader &each) {
            mapping_reader entry(each);
            auto name = names.read(entry, "name");
            pipeline_template added = parseTemplate(entry, m_configuration.services);
            if (name)
                added.id = template_id(std::move(*name));
            m_configuration.templates.push_back(std::move(added));
        });
    }

    // An entry names one customer or several customers with the same settings: otherwise 21,000
    // customers would fit neither a document nor the memory of a node.
    void parseCustomerEntry(const value_reader &reader)
    {
        mapping_reader mapping(reader);
        auto settings = std::make_shared<customer_settings>();
        const auto singleName = mapping.find("name");
        const auto nameList = mapping.find("names");
        if (singleName.has_value() == nameList.has_value())
            reader.fail("either `name` or `names`");
        parseCustomerSettings(mapping, *settings);
        if (singleName)
            addCustomer(*singleName, settings);
        if (nameList) {
            nameList->forEach(1, MaxCustomers,
                              [&](const value_reader &each) { addCustomer(each, settings); });
        }
    }

    void addCustomer(const value_reader &reader, std::shared_ptr<const customer_settings> settings)
    {
        if (m_configuration.customers.size() >= MaxCustomers)
            reader.fail("at most " + std::to_string(MaxCustomers) + " customers");
        else if (auto name = m_customerNames.read(reader))
            m_configuration.customers.push_back(
                customer{customer_id(std::move(*name)), std::move(settings)});
    }

    void parseCustomerSettings(mapping_reader &mapping, customer_settings &settings)
    {
        mapping.read("home_data_center", presence::Required, settings.homeDataCenter,
                     [&](const value_reader &each) { return readDataCenter(each); });
        mapping.readInteger("weight", settings.weight, {1, MaxWeight});
        if (const auto limits = mapping.find("limits")) {
            mapping_reader entry(*limits);
            entry.readInteger("max_open_requests", settings.limits.maxOpenRequests,
                              {1, MaxCustomerLimit});
        }
        const auto pipelines = mapping.find("pipelines", presence::Required);
        if (!pipelines)
            return;
        unique_names names("pipeline of this customer");
        pipelines->forEach(0, MaxPipelinesPerCustomer, [&](const value_reader &each) {
            parsePipeline(each, names, settings.pipelines);
        });
    }

    void parsePipeline(const value_reader &reader, unique_names &names,
                       std::vector<customer_pipeline> &pipelines)
    {
        const std::size_t errorsBefore = reader.errors().size();
        mapping_reader mapping(reader);
        customer_pipeline added;
        if (auto name = names.read(mapping, "name"))
            added.id = pipeline_id(std::move(*name));
        mapping.read("template", presence::Required, added.templateIndex,
                     [&](const value_reader &each) { return readTemplateIndex(each); });
        const auto parameters = mapping.find("parameters");
        if (reader.errors().size() != errorsBefore)
            return;
        const pipeline_template &definition = m_configuration.templates[added.templateIndex];
        added.values = parseParameterValues(reader, parameters, definition);
        if (reader.errors().size() != errorsBefore)
            return;
        checkRendering(reader, parameters, definition, added);
        pipelines.push_back(std::move(added));
    }

    [[nodiscard]] std::optional<std::uint32_t> readTemplateIndex(const value_reader &reader) const
    {
        const auto name = reader.name();
        if (!name)
            return std::nullopt;
        for (std::uint32_t i = 0; i < m_configuration.templates.size(); ++i) {
            if (m_configuration.templates[i].id.value == *name)
                return i;
        }
        reader.fail("the name of a template in `templates`");
        return std::nullopt;
    }

    // The error refers to the parameter if the customer sets it, otherwise to the pipeline.
    void checkRendering(const value_reader &reader, const std::optional<value_reader> &parameters,
                        const pipeline_template &definition,
                        const customer_pipeline &pipeline) const
    {
        const auto rendered = renderTemplate(m_configuration, pipeline);
        if (rendered)
            return;
        const render_error &error = rendered.error();
        if (error.parameter && parameters) {
            const std::string &name = definition.parameters[*error.parameter].name;
            if (const yaml_value *given = findKey(parameters->value(), name)) {
                const value_reader faulty(*given, *parameters, std::string_view(name));
                reader.errors().add(*given, faulty.path(), error.value, error.expected);
                return;
            }
        }
        reader.errors().add(reader.value(), reader.path(), error.value, error.expected);
    }

    published_configuration &m_configuration;
    unique_names m_serviceNames{"service"};
    unique_names m_serverNames{"backend server"};
    unique_names m_customerNames{"customer"};
};

} // namespace

result<configuration_ptr, std::vector<configuration_error>>
parsePublishedConfiguration(std::string_view yaml, std::string_view fileName, std::uint64_t version)
{
    const auto root = parseYaml(yaml, fileName, end_marker::Required);
    if (!root)
        return std::vector{root.error()};
    error_list errors{std::string(fileName)};
    auto configuration = std::make_shared<published_configuration>();
    configuration->version = version;
    published_configuration_parser(*configuration).parse(value_reader(root.value(), errors));
    if (!errors.empty())
        return errors.takeSorted();
    configuration->buildIndex();
    return configuration_ptr(std::move(configuration));
}

} // namespace orchidlead
