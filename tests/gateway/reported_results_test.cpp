#include "gateway/stages/reported_results.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead::gateway;

namespace {

using results = reported_results<int>;
using handles = std::vector<std::string>;

} // namespace

// Guards against results of a failed node that occupy storage until they expire.
TEST_CASE("reported_results: a failed submitter leaves the results that weren't freed")
{
    results r;
    r.onReported(1, "a");
    r.onReported(1, "b");
    r.onReported(2, "c");
    r.onFreed("a");
    r.onClosed(1, {"request"});
    CHECK(r.takeAll(1) == handles{"b"});
    CHECK(r.takeAll(1).empty());
    CHECK(r.size() == 1);
}

// Guards against freeing results that a node needs which only closed its link to a slow host.
TEST_CASE("reported_results: a submitter that sends its request again keeps its results")
{
    results r;
    r.onReported(1, "a");
    r.onClosed(1, {"request"});
    r.onSubmitted(2, "other");
    r.onSubmitted(3, "request");
    CHECK(r.takeAll(1).empty());
    CHECK(r.takeAll(2).empty());
    CHECK(r.takeAll(3) == handles{"a"});
}

TEST_CASE("reported_results: a free after the link closed is noticed")
{
    results r;
    r.onReported(1, "a");
    r.onClosed(1, {});
    r.onFreed("a");
    CHECK(r.takeAll(1).empty());
}

TEST_CASE("reported_results: the number of results is bounded, oldest forgotten first")
{
    results r;
    for (std::size_t i = 0; i <= results::MaxResults; ++i)
        r.onReported(1, std::to_string(i));
    CHECK(r.size() == results::MaxResults);
    CHECK(r.takeAll(1).front() == "1");
    for (std::size_t i = 0; i < 3 * results::MaxResults; ++i) {
        r.onReported(2, std::to_string(i));
        r.onFreed(std::to_string(i));
    }
    CHECK(r.size() == 0);
    CHECK(r.takeAll(2).empty());
}
