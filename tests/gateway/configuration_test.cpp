#include "gateway/publication/configuration.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

namespace {

route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

configuration_index makeIndex()
{
    configuration content;
    content.routes = {makeRoute("short", "a.example", "/x/"),
                      makeRoute("long", "a.example", "/x/y/"),
                      makeRoute("other", "b.example", "/x/")};
    customer_spec customer;
    customer.id = customer_id("c1");
    customer.keys = {"k1", "k2"};
    content.customers = {customer};
    return configuration_index(std::move(content));
}

} // namespace

TEST_CASE("findRoute returns the route of the host with the longest matching path prefix")
{
    const auto index = makeIndex();
    CHECK(index.findRoute("a.example", "/x/y/z")->name == "long");
    CHECK(index.findRoute("a.example", "/x/yy")->name == "short");
    CHECK(index.findRoute("A.Example:8080", "/x/q")->name == "short");
    CHECK(index.findRoute("b.example", "/x/y/z")->name == "other");
    CHECK(index.findRoute("a.example", "/x") == nullptr);
    CHECK(index.findRoute("c.example", "/x/") == nullptr);
}

TEST_CASE("findCustomer finds a customer by each of its keys")
{
    const auto index = makeIndex();
    CHECK(index.findCustomer("k2")->id.value == "c1");
    CHECK(index.findCustomer("k3") == nullptr);
    CHECK(index.findCustomer("") == nullptr);
}

TEST_CASE("a stream route is repeatable only if it is resumable")
{
    route streamRoute;
    streamRoute.kind = request_kind::Stream;
    CHECK_FALSE(streamRoute.repeatable());
    streamRoute.resumable = true;
    CHECK(streamRoute.repeatable());
    streamRoute.kind = request_kind::Unsafe;
    CHECK_FALSE(streamRoute.repeatable());
}
