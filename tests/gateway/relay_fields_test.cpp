#include "gateway/relay/relay_fields.h"

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace orchidlead::gateway;

TEST_CASE("relay_fields: an order is read as it was written, and leaves no field behind")
{
    std::string head = "GET / HTTP/1.1\r\nHost: h\r\n\r\nbody\r\n\r\n";
    insertOrder(head, {backend_server_id("s-1"), 77, milliseconds{12}, "a-1", true});
    CHECK(head
          == "GET / HTTP/1.1\r\nHost: h\r\nOrchidlead-Relay-To: s-1\r\n"
             "Orchidlead-Relay-Server-Start: 77\r\n"
             "Orchidlead-Relay-Age-Ms: 12\r\nOrchidlead-Relay-Request: a-1\r\n"
             "Orchidlead-Relay-Repeatable: 1\r\n\r\nbody\r\n\r\n");
    http::field_list fields{{"Host", "h"},
                            {"orchidlead-relay-to", "s-1"},
                            {"Orchidlead-Relay-Server-Start", "77"},
                            {"Orchidlead-Relay-Age-Ms", "12"},
                            {"Orchidlead-Relay-Request", "a-1"},
                            {"Orchidlead-Relay-Repeatable", "1"}};
    const auto order = takeOrder(fields);
    REQUIRE(order);
    CHECK(order->server.value == "s-1");
    CHECK(order->startedAt == 77);
    CHECK(order->age == milliseconds{12});
    CHECK(order->request == "a-1");
    CHECK(order->repeatable);
    CHECK(fields.size() == 1);
}

TEST_CASE("relay_fields: a client's field of the same name neither counts nor travels on")
{
    http::field_list fields{{"Orchidlead-Relay-To", "forged"}, {"Orchidlead-Relay-To", "s-1"}};
    const auto order = takeOrder(fields);
    REQUIRE(order);
    CHECK(order->server.value == "s-1");
    CHECK(fields.empty());
}

TEST_CASE("relay_fields: a call that must not be repeated has no field for it")
{
    std::string head = "POST / HTTP/1.1\r\n\r\n";
    insertOrder(head, {backend_server_id("s-1"), {}, {}, {}, false});
    CHECK(head.find("Repeatable") == std::string::npos);
    CHECK(head.find("Start") == std::string::npos);
    http::field_list fields{{"Orchidlead-Relay-To", "s-1"}};
    const auto order = takeOrder(fields);
    REQUIRE(order);
    CHECK_FALSE(order->repeatable);
}

TEST_CASE("relay_fields: without a server there is no order")
{
    http::field_list fields{{"Orchidlead-Relay-Age-Ms", "x"}};
    CHECK_FALSE(takeOrder(fields));
}

TEST_CASE("relay_fields: results are read by name, and unknown ones are none")
{
    for (const auto &[value, name] : enumNames<relay_result>) {
        http::field_list fields{toField(value)};
        CHECK(findResult(fields) == value);
        CHECK(takeResult(fields) == value);
        CHECK(fields.empty());
    }
    CHECK_FALSE(findResult({{"Orchidlead-Relay-Result", "maybe"}}));
}

TEST_CASE("relay_fields: the mark of an answer that ends with its connection is taken out")
{
    http::field_list fields{{"Host", "h"}, endsWithConnectionField()};
    CHECK(takeEndsWithConnection(fields));
    CHECK_FALSE(takeEndsWithConnection(fields));
    CHECK(fields.size() == 1);
}
