#include <orchidlead/idempotency_key.h>
#include <orchidlead/ticket.h>
#include <orchidlead/ticket_ledger.h>

#include <catch2/catch.hpp>

using namespace orchidlead;
using namespace std::chrono_literals;

TEST_CASE("a ticket's text is parsed to the same ticket even if the VM's name contains dots")
{
    const ticket minted{vm_id{"vm-1.rack.2"}, 0xfeedULL, 42};
    CHECK(toText(minted) == "t.vm-1.rack.2.feed.42");
    CHECK(parseTicket(toText(minted)).value() == minted);
}

TEST_CASE("a malformed ticket is rejected with the name of the invalid part")
{
    CHECK(parseTicket("x.vm.1.1").error() == ticket_error::BadPrefix);
    CHECK(parseTicket("t.vm.1.").error() == ticket_error::BadSequence);
    CHECK(parseTicket("t.vm.1.01").error() == ticket_error::BadSequence);
    CHECK(parseTicket("t.vm.1.99999999999999999999").error() == ticket_error::BadSequence);
    CHECK(parseTicket("t.vm.xyz.1").error() == ticket_error::BadIncarnation);
    CHECK(parseTicket("t.vm.FF.1").error() == ticket_error::BadIncarnation);
    CHECK(parseTicket("t.v m.1.1").error() == ticket_error::BadVm);
    CHECK(parseTicket("t.1.1").error() == ticket_error::BadIncarnation);
    CHECK(parseTicket("t." + std::string(MaxTicketLength, 'a')).error() == ticket_error::TooLong);
}

TEST_CASE("a ticket is valid only in the process that minted it and only within its window")
{
    manual_clock clock;
    ticket_ledger ledger{vm_id{"a"}, 7, 1000ms, 10, clock};
    const ticket minted = ledger.mint().value();
    CHECK(ledger.status(minted) == ticket_status::Valid);
    CHECK(ledger.status({vm_id{"b"}, 7, 1}) == ticket_status::OtherVm);
    CHECK(ledger.status({vm_id{"a"}, 8, 1}) == ticket_status::OtherIncarnation);
    CHECK(ledger.status({vm_id{"a"}, 7, 2}) == ticket_status::NeverMinted);
    clock.advance(1000ms);
    CHECK(ledger.status(minted) == ticket_status::Expired);
    ledger.tick();
    CHECK(ledger.status(minted) == ticket_status::Expired);
}

TEST_CASE("a ledger at its capacity mints nothing until a ticket expires")
{
    manual_clock clock;
    ticket_ledger ledger{vm_id{"a"}, 7, 1000ms, 2, clock};
    CHECK(ledger.mint().has_value());
    CHECK(ledger.mint().has_value());
    CHECK_FALSE(ledger.mint().has_value());
    clock.advance(1000ms);
    CHECK(ledger.mint().value().sequence == 3);
}

TEST_CASE("a key contains its time of issue")
{
    const auto key = parseIdempotencyKey("1790000000123-a1b2c3d4").value();
    CHECK(key.issued == wall_time{1790000000123ms});
}

TEST_CASE("a key without a valid time or random text is rejected")
{
    CHECK(parseIdempotencyKey("a1b2c3d4").error() == idempotency_key_error::NoTime);
    CHECK(parseIdempotencyKey("-a1b2c3d4").error() == idempotency_key_error::NoTime);
    CHECK(parseIdempotencyKey("12x-a1b2c3d4").error() == idempotency_key_error::BadTime);
    CHECK(parseIdempotencyKey("01-a1b2c3d4").error() == idempotency_key_error::BadTime);
    CHECK(parseIdempotencyKey("99999999999999999999-a1b2c3d4").error()
          == idempotency_key_error::BadTime);
    CHECK(parseIdempotencyKey("1790000000123-a1b2").error()
          == idempotency_key_error::BadRandomText);
    CHECK(parseIdempotencyKey("1790000000123-a1b2 c3d4").error()
          == idempotency_key_error::BadRandomText);
    CHECK(parseIdempotencyKey(std::string(MaxIdempotencyKeyLength + 1, '1')).error()
          == idempotency_key_error::TooLong);
}
