#include <orchidlead/outcome.h>

#include <catch2/catch.hpp>

using namespace orchidlead;

TEST_CASE("every outcome has a name that maps back to it")
{
    for (const auto &row : enumNames<outcome>) {
        CAPTURE(row.name);
        CHECK(toName(row.value) == row.name);
        CHECK(fromName<outcome>(row.name) == row.value);
    }
}

TEST_CASE("an unknown name has no value")
{
    CHECK_FALSE(fromName<outcome>("perhaps").has_value());
}
