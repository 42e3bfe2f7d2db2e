#include "wire/configuration_service_client.h"

namespace orchidlead::wire {

namespace {

read_error malformed(std::string detail)
{
    return {read_failure::Malformed, std::move(detail)};
}

} // namespace

result<configuration_content, read_error> configuration_document::parse(std::string_view body)
{
    const auto parsed = parseJson(body);
    if (!parsed)
        return failure(malformed(parsed.error().what));
    const auto version = unsignedMember(parsed.value(), "version");
    auto content = stringMember(parsed.value(), "content");
    if (!version || *version == 0)
        return failure(malformed("version: expected an integer from 1"));
    if (!content || !isUtf8(*content))
        return failure(malformed("content: expected a string in UTF-8"));
    if (content->size() > MaxConfigurationBytes)
        return failure(read_error{read_failure::TooLarge, "content"});
    return configuration_content{*version, std::move(*content)};
}

template class published_reader<configuration_document>;

} // namespace orchidlead::wire
