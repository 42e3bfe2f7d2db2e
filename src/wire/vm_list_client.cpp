#include "wire/vm_list_client.h"

#include "core/settings/socket_address_text.h"

#include <set>

namespace orchidlead::wire {

namespace {

constexpr std::size_t MaxNameBytes = 128;

read_error malformed(std::string detail)
{
    return {read_failure::Malformed, std::move(detail)};
}

bool isName(const std::optional<std::string> &text)
{
    return text && !text->empty() && text->size() <= MaxNameBytes;
}

std::optional<bool> parseLeaving(const std::optional<std::string> &state)
{
    if (state == "live")
        return false;
    if (state == "leaving")
        return true;
    return std::nullopt;
}

result<listed_vm, read_error> parseVm(const Json::Value &value, const std::string &where)
{
    const auto vm = stringMember(value, "vm");
    const auto dataCenter = stringMember(value, "data_center");
    const auto region = stringMember(value, "region");
    if (!isName(vm) || !isName(dataCenter) || !isName(region))
        return failure(malformed(where + ": expected vm, data_center and region"));
    const auto address = parseSocketAddress(stringMember(value, "peer_address").value_or(""));
    if (!address)
        return failure(malformed(where + ".peer_address: expected ip:port"));
    const auto leaving = parseLeaving(stringMember(value, "state"));
    if (!leaving)
        return failure(malformed(where + ".state: expected live or leaving"));
    return listed_vm{vm_id{*vm}, data_center_id{*dataCenter}, region_id{*region}, *address,
                     *leaving};
}

} // namespace

result<vm_list, read_error> vm_list_document::parse(std::string_view body)
{
    const auto parsed = parseJson(body, {MaxAnswerBytes});
    if (!parsed)
        return failure(malformed(parsed.error().what));
    const auto version = unsignedMember(parsed.value(), "version");
    const Json::Value *vms = findMember(parsed.value(), "vms");
    if (!version || vms == nullptr || !vms->isArray())
        return failure(malformed("expected version and vms"));
    if (vms->size() > MaxListedVms)
        return failure(read_error{read_failure::TooLarge, "vms"});
    vm_list list{*version, {}};
    std::set<vm_id> names;
    for (Json::ArrayIndex index = 0; index < vms->size(); ++index) {
        const std::string where = "vms[" + std::to_string(index) + "]";
        auto vm = parseVm((*vms)[index], where);
        if (!vm)
            return failure(std::move(vm).error());
        if (!names.insert(vm.value().vm).second)
            return failure(malformed(where + ": doubled vm"));
        list.vms.push_back(std::move(vm).value());
    }
    return list;
}

template class published_reader<vm_list_document>;
template class published_watch<vm_list_document>;

} // namespace orchidlead::wire
