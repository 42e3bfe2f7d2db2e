#include "standins/yaml_fields.h"

namespace orchidlead::standins {

void readFields(const YAML::Node &map, const field_table &fields)
{
    if (!map.IsMap())
        throw YAML::RepresentationException(map.Mark(), "expected a map");
    for (const auto &pair : map) {
        const auto name = pair.first.as<std::string>();
        const auto found = fields.find(name);
        if (found == fields.end())
            throw YAML::RepresentationException(pair.first.Mark(), "unknown key " + name);
        found->second(pair.second);
    }
}

field_reader intoAddress(socket_address &target)
{
    return [&target](const YAML::Node &node) {
        const auto address = parseAddress(node.as<std::string>());
        if (!address)
            throw YAML::RepresentationException(node.Mark(), "expected ip:port");
        target = *address;
    };
}

} // namespace orchidlead::standins
