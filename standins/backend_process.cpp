#include "standins/backend_process.h"

#include "standins/json_http.h"
#include "standins/yaml_fields.h"

#include <utility>

namespace orchidlead::standins {

namespace {

constexpr std::size_t DefaultHistoryPage = 10'000;
constexpr std::uint64_t SeedStep = 1000;

/// One row of the list of servers; `count` of them, numbered, where it is above one.
struct server_row
{
    backend_server_spec spec;
    std::uint32_t count = 1;
};

server_row readServer(const YAML::Node &node)
{
    server_row row;
    backend_server_spec &spec = row.spec;
    std::uint32_t capacity = 0;
    std::uint32_t queue = spec.stage.queue;
    readFields(node,
               {{"name", into(spec.name)},
                {"count", into(row.count)},
                {"kind", intoEnum(spec.kind)},
                {"listen", intoAddress(spec.listen)},
                {"base_ms", intoMillis(spec.stage.base)},
                {"per_kib_ms", intoMillis(spec.stage.perKib)},
                {"sigma", into(spec.stage.sigma)},
                {"capacity", into(capacity)},
                {"queue", into(queue)},
                {"step_ms", intoMillis(spec.engine.baseStep)},
                {"per_sequence_ms", intoMillis(spec.engine.perSequence)},
                {"per_prompt_token_ms", intoMillis(spec.engine.perPromptToken)},
                {"cache_blocks", into(spec.engine.cacheBlocks)},
                {"report_lag_ms", intoMillis(spec.reportLag)}});
    spec.stage.queue = queue;
    spec.engine.queue = queue;
    if (capacity > 0) {
        spec.stage.capacity = capacity;
        spec.engine.capacity = capacity;
    }
    return row;
}

void readServers(const YAML::Node &list, std::vector<backend_server_spec> &servers)
{
    for (const YAML::Node &node : list) {
        const server_row row = readServer(node);
        for (std::uint32_t i = 1; i <= row.count; ++i) {
            backend_server_spec spec = row.spec;
            if (row.count > 1)
                spec.name += "-" + std::to_string(i);
            servers.push_back(spec);
        }
    }
}

} // namespace

result<backend_process_spec, spec_error> parseBackendProcess(std::string_view yaml)
{
    backend_process_spec spec;
    try {
        readFields(
            YAML::Load(std::string(yaml)),
            {{"seed", into(spec.seed)},
             {"control", intoAddress(spec.control)},
             {"servers", [&spec](const YAML::Node &list) { readServers(list, spec.servers); }}});
    } catch (const YAML::Exception &error) {
        return spec_error{error.what()};
    }
    return spec;
}

result<std::unique_ptr<backend_process>, net::net_error>
backend_process::create(net::event_loop &loop, const clock_source &clock,
                        const backend_process_spec &spec)
{
    std::unique_ptr<backend_process> process(new backend_process(clock));
    std::uint64_t seed = spec.seed;
    for (const backend_server_spec &row : spec.servers) {
        seed += SeedStep;
        auto server = backend_server::create({loop, clock, process->m_history}, row, seed);
        if (!server)
            return server.error();
        process->m_servers.push_back(std::move(server.value()));
    }
    net::http_server_options options;
    options.listen = spec.control;
    auto control = net::http_server::create(
        loop, options,
        [self = process.get()](net::http_request &&request, const net::response_ptr &response) {
            self->handleControl(request, *response);
        });
    if (!control)
        return control.error();
    process->m_controlServer = std::move(control.value());
    process->m_control = {spec.control.ip, process->m_controlServer->port()};
    return process;
}

Json::Value backend_process::serversJson() const
{
    Json::Value list(Json::arrayValue);
    for (const auto &server : m_servers) {
        Json::Value row;
        row["name"] = server->name();
        row["kind"] = std::string(toName(server->kind()));
        row["address"] = toText(server->address());
        row["faults"] = server->faults().toJson();
        list.append(row);
    }
    return list;
}

Json::Value backend_process::addresses() const
{
    Json::Value json;
    json["control"] = toText(m_control);
    json["servers"] = serversJson();
    return json;
}

void backend_process::handleControl(const net::http_request &request,
                                    net::response_writer &response)
{
    if (request.method == "GET" && request.path == "/control/servers")
        respondJson(response, 200, addresses());
    else if (request.method == "GET" && request.path == "/control/history")
        getHistory(request, response);
    else if (request.method == "PUT" && request.path == "/control/faults")
        putFaults(request, response);
    else
        respondError(response, 404, "unknown path or method");
}

void backend_process::getHistory(const net::http_request &request,
                                 net::response_writer &response) const
{
    const auto after = queryNumber(request.query, "after").value_or(0);
    const auto limit = queryNumber(request.query, "limit").value_or(DefaultHistoryPage);
    Json::Value page = m_history.page(after, limit);
    page["now_us"] = Json::Int64{toMicros(m_clock.now())};
    respondJson(response, 200, page);
}

void backend_process::putFaults(const net::http_request &request, net::response_writer &response)
{
    const auto body = parseJson(request.body);
    if (!body || !body->isObject()) {
        respondError(response, 400, "malformed JSON");
        return;
    }
    const auto faults = parseFaults(*body);
    if (!faults) {
        respondError(response, 400, "unknown fault or malformed list");
        return;
    }
    const std::string name = (*body)["server"].isString() ? (*body)["server"].asString() : "";
    bool known = false;
    for (const auto &server : m_servers) {
        if (!name.empty() && server->name() != name)
            continue;
        known = true;
        if (!server->setFaults(faults.value())) {
            respondError(response, 500, "the port can't be opened again");
            return;
        }
    }
    if (known)
        respondJson(response, 200, addresses());
    else
        respondError(response, 404, "unknown server");
}

} // namespace orchidlead::standins
