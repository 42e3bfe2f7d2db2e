#include "core/settings/yaml_document.h"

#include "core/settings/utf8.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <istream>
#include <streambuf>

namespace orchidlead {

namespace {

constexpr std::string_view EndMarker = "...";
constexpr std::string_view Whitespace = " \t\r\n";
constexpr int FirstLine = 1;

/// Exception that aborts parsing of a rejected document; yaml-cpp does not catch it.
struct document_rejected
{
    configuration_error error;
};

/// Builds the tree from the events of yaml-cpp.
///
/// Events are used instead of `YAML::Load` because they allow limits to be enforced during parsing,
/// and because a `yaml_value` is several times smaller than a `YAML::Node`.
class tree_builder final : public YAML::EventHandler
{
public:
    explicit tree_builder(const yaml_limits &limits)
        : m_limits(limits)
    { }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        rejectAnchor(mark, anchor);
        // yaml-cpp reports the position of the next token; errors should refer to the key instead.
        YAML::Mark position = mark;
        if (const yaml_value *key = pendingKey()) {
            position.line = key->line - 1;
            position.column = key->column - 1;
        }
        add(position, yaml_kind::Null);
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        reject(mark, "no alias (`*name`): the value itself");
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                  const std::string &value) override
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        if (!isUtf8(value))
            reject(mark, "text in UTF-8");
        yaml_value &scalar = add(mark, yaml_kind::Scalar);
        scalar.quoted = tag == QuotedTag;
        scalar.scalar = value;
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, tag, anchor, yaml_kind::Sequence);
    }

    void OnSequenceEnd() override { m_open.pop_back(); }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, tag, anchor, yaml_kind::Mapping);
    }

    void OnMapEnd() override { m_open.pop_back(); }

    [[nodiscard]] yaml_value takeRoot() { return std::move(m_root); }

private:
    // Tags that yaml-cpp assigns to plain and quoted scalars without an explicit tag.
    static constexpr std::string_view PlainTag = "?";
    static constexpr std::string_view QuotedTag = "!";

    [[noreturn]] static void reject(const YAML::Mark &mark, std::string expected)
    {
        throw document_rejected{
            configuration_error{"", mark.line + 1, mark.column + 1, "", "", std::move(expected)}};
    }

    static void rejectAnchor(const YAML::Mark &mark, YAML::anchor_t anchor)
    {
        if (anchor != 0)
            reject(mark, "no anchor (`&name`)");
    }

    static void rejectTag(const YAML::Mark &mark, const std::string &tag)
    {
        if (!tag.empty() && tag != PlainTag && tag != QuotedTag)
            reject(mark, "no tag (`!name`)");
    }

    void open(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, yaml_kind kind)
    {
        rejectAnchor(mark, anchor);
        rejectTag(mark, tag);
        if (m_open.size() >= m_limits.maxDepth)
            reject(mark, "at most " + std::to_string(m_limits.maxDepth) + " levels of nesting");
        m_open.push_back(&add(mark, kind));
    }

    /// Returns the key whose value comes next, or null.
    [[nodiscard]] const yaml_value *pendingKey() const
    {
        if (m_open.empty() || m_open.back()->kind != yaml_kind::Mapping)
            return nullptr;
        const auto &items = m_open.back()->items;
        return items.size() % 2 == 1 ? &items.back() : nullptr;
    }

    // The pointers in `m_open` stay valid: a list only grows when its last item is complete.
    yaml_value &add(const YAML::Mark &mark, yaml_kind kind)
    {
        if (++m_count > m_limits.maxValues)
            reject(mark, "at most " + std::to_string(m_limits.maxValues) + " values");
        yaml_value &value = m_open.empty() ? m_root : m_open.back()->items.emplace_back();
        value.kind = kind;
        value.line = mark.line + 1;
        value.column = mark.column + 1;
        return value;
    }

    yaml_limits m_limits;
    std::size_t m_count = 0;
    yaml_value m_root;
    std::vector<yaml_value *> m_open;
};

/// A read-only stream buffer over text that it does not own.
class view_buffer final : public std::streambuf
{
public:
    explicit view_buffer(std::string_view text)
    {
        // The buffer is never written to; std::streambuf has no const interface.
        char *begin = const_cast<char *>(text.data());
        setg(begin, begin, begin + text.size());
    }
};

int lineCount(std::string_view text)
{
    return FirstLine + static_cast<int>(std::count(text.begin(), text.end(), '\n'));
}

bool endsWithEndMarker(std::string_view text)
{
    const auto last = text.find_last_not_of(Whitespace);
    if (last == std::string_view::npos)
        return false;
    const std::string_view body = text.substr(0, last + 1);
    const auto lineStart = body.find_last_of('\n');
    return body.substr(lineStart == std::string_view::npos ? 0 : lineStart + 1) == EndMarker;
}

configuration_error errorAt(int line, int column, std::string expected)
{
    return configuration_error{"", line, column, "", "", std::move(expected)};
}

result<yaml_value, configuration_error> parseTree(std::string_view text, const yaml_limits &limits)
{
    view_buffer buffer(text);
    std::istream stream(&buffer);
    tree_builder builder(limits);
    try {
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder))
            return errorAt(FirstLine, 1, "a non-empty document");
        tree_builder rest(limits);
        if (parser.HandleNextDocument(rest))
            return errorAt(rest.takeRoot().line, 1, "one document; this is the second one");
    } catch (const document_rejected &rejected) {
        return rejected.error;
    } catch (const YAML::Exception &error) {
        return errorAt(error.mark.line + 1, error.mark.column + 1, "YAML: " + error.msg);
    }
    return builder.takeRoot();
}

result<yaml_value, configuration_error> parseChecked(std::string_view text, end_marker marker,
                                                     const yaml_limits &limits)
{
    if (text.size() > limits.maxBytes)
        return errorAt(FirstLine, 1, "at most " + std::to_string(limits.maxBytes) + " bytes");
    if (text.find('\0') != std::string_view::npos)
        return errorAt(lineCount(text.substr(0, text.find('\0'))), 1, "text without NUL bytes");
    auto root = parseTree(text, limits);
    // A document truncated at the end of a line is often valid YAML with a shorter list.
    if (root && marker == end_marker::Required && !endsWithEndMarker(text))
        return errorAt(lineCount(text), 1, "the line `...` at the end; the document is truncated");
    return root;
}

} // namespace

const yaml_value *findKey(const yaml_value &mapping, std::string_view key)
{
    if (mapping.kind != yaml_kind::Mapping)
        return nullptr;
    for (std::size_t i = 0; i + 1 < mapping.items.size(); i += 2) {
        if (mapping.items[i].scalar == key)
            return &mapping.items[i + 1];
    }
    return nullptr;
}

result<yaml_value, configuration_error> parseYaml(std::string_view text, std::string_view file,
                                                  end_marker marker, const yaml_limits &limits)
{
    auto root = parseChecked(text, marker, limits);
    if (root)
        return root;
    configuration_error error = root.error();
    error.file = file;
    return error;
}

} // namespace orchidlead
