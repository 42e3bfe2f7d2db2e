#include "ctl/document_file.h"

#include "core/settings/yaml_document.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>

namespace orchidlead::ctl {

namespace {

constexpr std::string_view StandardInput = "-";
constexpr std::array SettingsKeys{std::string_view("vm"), std::string_view("listen"),
                                  std::string_view("platform")};
constexpr std::array PublishedKeys{std::string_view("services"), std::string_view("templates"),
                                   std::string_view("customers")};

// One byte more than the bound is enough for the parser to say that it was passed.
std::string readStream(std::istream &stream, std::size_t maxBytes)
{
    std::string text(maxBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

template <class Keys>
std::size_t countKeys(const yaml_value &root, const Keys &keys)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i + 1 < root.items.size(); i += 2) {
        if (std::find(keys.begin(), keys.end(), root.items[i].scalar) != keys.end())
            ++count;
    }
    return count;
}

} // namespace

result<std::string, file_error> readFile(const std::string &name, std::istream &in,
                                         std::size_t maxBytes)
{
    if (name == StandardInput)
        return readStream(in, maxBytes);
    errno = 0;
    std::ifstream file(name, std::ios::binary);
    std::string text = readStream(file, maxBytes);
    if (!file.is_open() || file.bad() || (text.empty() && errno != 0)) {
        return file_error{errno != 0 ? std::strerror(errno) : "read error"};
    }
    return text;
}

document_kind detectKind(std::string_view yaml)
{
    const auto root = parseYaml(yaml, "", end_marker::Optional);
    if (!root || root.value().kind != yaml_kind::Mapping)
        return document_kind::Auto;
    const std::size_t settings = countKeys(root.value(), SettingsKeys);
    const std::size_t published = countKeys(root.value(), PublishedKeys);
    if (settings == published)
        return document_kind::Auto;
    return settings > published ? document_kind::Settings : document_kind::Published;
}

} // namespace orchidlead::ctl
