#pragma once

#include <orchidlead/random_source.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orchidlead {

/// Changes texts at random, the same way for the same seed.
class byte_mutator
{
public:
    byte_mutator(std::uint64_t seed, std::vector<std::string> corpus)
        : m_random(seed)
        , m_corpus(std::move(corpus))
    { }

    /// Returns one text of the corpus with one to eight changes.
    [[nodiscard]] std::string next()
    {
        std::string text = pickText();
        const auto changes = 1 + m_random.below(8);
        for (std::uint64_t change = 0; change < changes; ++change)
            mutate(text);
        return text;
    }

    /// Draws from [1, bound].
    [[nodiscard]] std::size_t pieceSize(std::size_t bound) { return 1 + m_random.below(bound); }

private:
    [[nodiscard]] const std::string &pickText()
    {
        return m_corpus[m_random.below(m_corpus.size())];
    }

    [[nodiscard]] std::size_t pickPlace(const std::string &text)
    {
        return m_random.below(text.size() + 1);
    }

    void mutate(std::string &text)
    {
        constexpr std::size_t MaxBytes = 64U << 10U;
        constexpr std::size_t MaxPiece = 64;
        const std::size_t at = pickPlace(text);
        switch (m_random.below(text.size() < MaxBytes ? 7 : 3)) {
        case 0:
            if (at < text.size())
                text[at] = static_cast<char>(text[at] ^ (1U << m_random.below(8)));
            break;
        case 1:
            text.erase(at, m_random.below(MaxPiece));
            break;
        case 2:
            text.resize(at);
            break;
        case 3:
            text.insert(at, 1, static_cast<char>(m_random.below(256)));
            break;
        case 4:
            text.insert(at, text.substr(pickPlace(text), m_random.below(MaxPiece)));
            break;
        case 5: {
            const std::string &other = pickText();
            text.insert(at, other.substr(pickPlace(other), m_random.below(MaxPiece)));
            break;
        }
        default:
            text.insert(at, Tokens[m_random.below(Tokens.size())]);
            break;
        }
    }

    /// Texts that parsers treat in a way of their own.
    static constexpr std::array<std::string_view, 20> Tokens{
        "\"",
        "\\",
        "\\u0000",
        "\\ud800",
        "[[[[",
        "{{{{",
        "}",
        "]",
        ",",
        ":",
        "-1",
        "18446744073709551616",
        "1e999",
        "null",
        "\xff\xfe",
        "\xed\xa0\x80",
        "\r\n",
        "&a *a",
        "\xff\xff\xff\xff",
        "\n\n",
    };

    random_source m_random;
    std::vector<std::string> m_corpus;
};

} // namespace orchidlead
