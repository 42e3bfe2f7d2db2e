#include "gateway/exchange/request_outcome.h"
#include "gateway/log_event.h"
#include "gateway/publication/published_state.h"
#include "wire/log.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

std::string readPage()
{
    std::ifstream file(std::string(std::getenv("ORCHIDLEAD_SOURCE")) + "/docs/LOGS.md");
    return {std::istreambuf_iterator<char>(file), {}};
}

template <class Enum>
void checkNames(const std::string &page)
{
    for (const auto &row : enumNames<Enum>) {
        INFO("name: " << row.name);
        CHECK(page.find('`' + std::string(row.name) + '`') != std::string::npos);
    }
}

} // namespace

TEST_CASE("every log event and request outcome is documented in docs/LOGS.md")
{
    const auto page = readPage();
    REQUIRE_FALSE(page.empty());
    checkNames<log_event>(page);
    checkNames<publication_event::event_type>(page);
    checkNames<request_outcome>(page);
}
