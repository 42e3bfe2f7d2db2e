#include "http/message_reader.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace orchidlead::http;

namespace {

constexpr std::size_t MaxHeadBytes = 512;
constexpr std::size_t MaxBodyBytes = 64;

template <class Head>
class recording_sink final : public message_sink<Head>
{
public:
    void onHead(Head head) override { heads.push_back(std::move(head)); }
    void onBody(std::string_view bytes) override { body.append(bytes); }
    void onComplete() override { ++completed; }

    std::vector<Head> heads;
    std::string body;
    int completed = 0;
};

/// Passes a text to a reader byte by byte.
template <class Reader>
std::optional<read_error> readByteByByte(Reader &reader, std::string_view text)
{
    std::string unread;
    for (const char each : text) {
        unread.push_back(each);
        const auto progress = reader.read(unread);
        if (progress.error)
            return progress.error;
        unread.erase(0, progress.used);
    }
    return std::nullopt;
}

std::optional<read_error> readRequest(std::string_view text)
{
    recording_sink<request_head> sink;
    request_reader reader(sink, MaxHeadBytes, MaxBodyBytes);
    return reader.read(text).error;
}

} // namespace

TEST_CASE("a request is parsed without consuming bytes of the next one")
{
    recording_sink<request_head> sink;
    request_reader reader(sink, MaxHeadBytes, MaxBodyBytes);
    const std::string first = "POST /x?y HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    const auto progress = reader.read(first + "GET / HTTP/1.1\r\n");
    CHECK_FALSE(progress.error);
    CHECK(progress.used == first.size());
    REQUIRE(sink.heads.size() == 1);
    CHECK(sink.heads[0].target == "/x?y");
    CHECK(sink.body == "abc");
    CHECK(sink.completed == 1);
}

TEST_CASE("a request received byte by byte is parsed like one received at once")
{
    recording_sink<request_head> sink;
    request_reader reader(sink, MaxHeadBytes, MaxBodyBytes);
    const auto error = readByteByByte(
        reader,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    CHECK_FALSE(error);
    CHECK(sink.body == "abc");
    CHECK(sink.completed == 1);
}

TEST_CASE("requests with ambiguous framing are rejected")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::vector<std::string> texts{
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        head + "Content-Length: 3, 3\r\n\r\nabc",
        head + "Content-Length: +3\r\n\r\nabc",
        head + "Content-Length: 0x3\r\n\r\nabc",
        head + "Transfer-Encoding: gzip\r\n\r\n",
        head + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        head + "Content-Length : 3\r\n\r\nabc",
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        "POST / HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc",
        "POST / HTTP/1.1\r\nHost: a\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: a\r\nX-A: b\nGET /smuggled HTTP/1.1\r\n\r\n",
        "POST /a b HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST / HTTP/9.9\r\nHost: a\r\n\r\n",
    };
    for (const auto &text : texts) {
        INFO("request: " << text);
        CHECK(readRequest(text) == read_error::Malformed);
    }
}

TEST_CASE("a head and a body over their limits are reported as different errors")
{
    const std::string large(MaxHeadBytes, 'x');
    CHECK(readRequest("GET / HTTP/1.1\r\nHost: a\r\nX-A: " + large + "\r\n\r\n")
          == read_error::HeadTooLarge);
    CHECK(readRequest("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n")
          == read_error::BodyTooLarge);
}

TEST_CASE("an answer without a length is complete when its connection closes in an orderly way")
{
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    CHECK_FALSE(reader.read("HTTP/1.1 200 OK\r\n\r\nabc").error);
    CHECK_FALSE(reader.done());
    CHECK(reader.finishAtEndOfStream());
    CHECK(sink.body == "abc");
    CHECK(sink.completed == 1);
}

TEST_CASE("a truncated answer is not complete")
{
    for (const std::string text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 200 OK\r\nContent-", ""}) {
        INFO("answer: " << text);
        recording_sink<response_head> sink;
        response_reader reader(sink, false);
        CHECK_FALSE(reader.read(text).error);
        CHECK_FALSE(reader.finishAtEndOfStream());
        CHECK(sink.completed == 0);
    }
}

// Guards against a head that breaks off and is taken for a whole one, of an answer without a body
// or with a body that ends with the connection.
TEST_CASE("a head that is cut at any byte is neither reported nor complete")
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX-Signature: s\r\nConnection: close\r\n\r\n",
          "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
          "HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            INFO("head: " << head.substr(0, cut));
            for (const std::string before : {"", "HTTP/1.1 100 Continue\r\n\r\n"}) {
                recording_sink<response_head> sink;
                response_reader reader(sink, cut % 2 == 0);
                CHECK_FALSE(readByteByByte(reader, before + head.substr(0, cut)));
                CHECK_FALSE(reader.headDone());
                CHECK_FALSE(reader.finishAtEndOfStream());
                CHECK(sink.heads.empty());
                CHECK(sink.completed == 0);
            }
        }
    }
}

// Guards against an interim head that is taken for the answer.
TEST_CASE("an interim head that is cut or is the last one is no answer")
{
    const std::string head = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    for (std::size_t cut = 0; cut <= head.size(); ++cut) {
        INFO("head: " << head.substr(0, cut));
        recording_sink<response_head> sink;
        response_reader reader(sink, false);
        CHECK_FALSE(readByteByByte(reader, head.substr(0, cut)));
        CHECK_FALSE(reader.headDone());
        CHECK_FALSE(reader.finishAtEndOfStream());
        CHECK(sink.heads.empty());
        CHECK(sink.completed == 0);
    }
}

// Guards against a body of chunks that looks whole where its connection ends inside it, inside the
// size of a chunk or inside the trailers.
TEST_CASE("a chunked body that is cut at any byte is not complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body = "3;x=y\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nTrailer: t\r\n\r\n";
    for (std::size_t cut = 0; cut < body.size(); ++cut) {
        INFO("body: " << body.substr(0, cut));
        recording_sink<response_head> sink;
        response_reader reader(sink, false);
        CHECK_FALSE(readByteByByte(reader, head + body.substr(0, cut)));
        CHECK_FALSE(reader.done());
        CHECK_FALSE(reader.finishAtEndOfStream());
        CHECK(sink.completed == 0);
    }
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    CHECK_FALSE(readByteByByte(reader, head + body));
    CHECK(sink.completed == 1);
}

TEST_CASE("interim answers are skipped")
{
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    CHECK_FALSE(reader.read("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n").error);
    REQUIRE(sink.heads.size() == 1);
    CHECK(sink.heads[0].status == 204);
    CHECK(reader.done());
}

// Guards against a status that HTTP doesn't define: taken for an interim answer, it makes the
// request wait until its timeout, else the client gets it as an answer.
TEST_CASE("statuses outside 100 to 599 are no answer")
{
    const auto text = GENERATE(as<std::string>{}, "000", "001", "099", "99", "600", "999", "2000",
                               "20", "2x0", "abc", "-20", "+20", " 200", "");
    CAPTURE(text);
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    const auto answer = "HTTP/1.1 " + text + " X\r\nContent-Length: 1\r\n\r\na";
    CHECK(reader.read(answer).error);
    CHECK(sink.heads.empty());
    CHECK(sink.completed == 0);
}

// Guards against a check of statuses that rejects the ones few servers use.
TEST_CASE("unusual statuses from 200 to 599 are read as they are")
{
    const int status = GENERATE(200, 299, 418, 451, 599);
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    const auto answer = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 1\r\n\r\na";
    CHECK_FALSE(reader.read(answer).error);
    REQUIRE(sink.heads.size() == 1);
    CHECK(sink.heads.front().status == status);
    CHECK(sink.completed == 1);
}

TEST_CASE("bytes after a complete answer are not consumed as part of it")
{
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    CHECK(reader.read(answer + "HTTP/1.1 200 OK\r\n").used == answer.size());
    CHECK(reader.done());
}

TEST_CASE("the answer to a HEAD request has no body even if it declares a length")
{
    recording_sink<response_head> sink;
    response_reader reader(sink, true);
    CHECK_FALSE(reader.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n").error);
    CHECK(reader.done());
}

namespace {

/// Passes a text, then the same piece again and again, until the reader rejects the message.
/// Returns the number of bytes passed; `limit` if all were accepted.
template <class Reader>
std::size_t readUntilRejected(Reader &reader, const std::string &begin, const std::string &piece,
                              std::size_t limit)
{
    std::string unread = begin;
    std::size_t passed = begin.size();
    while (passed < limit) {
        const auto progress = reader.read(unread);
        if (progress.error)
            return passed;
        unread.erase(0, progress.used);
        unread.append(piece);
        passed += piece.size();
    }
    return limit;
}

constexpr std::size_t EndlessBytes = 8U << 20U;
constexpr std::size_t PieceBytes = 1000;

struct endless_message
{
    std::string name;
    std::string begin;
    std::string piece;
};

std::vector<endless_message> endlessParts(const std::string &startLine, const std::string &chunked)
{
    const std::string filler(PieceBytes, 'a');
    return {{"start line", startLine, filler},
            {"field", startLine + "\r\nX-A: ", filler},
            {"fields", startLine + "\r\n", "X-A: " + filler + "\r\n"},
            {"chunk size", chunked, std::string(PieceBytes, '0')},
            {"chunk extension", chunked + "5;", filler},
            {"trailer", chunked + "0\r\nX-A: ", filler},
            {"trailers", chunked + "0\r\n", "X-A: " + filler + "\r\n"}};
}

} // namespace

// Guards against a server that makes the head, a chunk's head or the trailers of an answer grow
// until memory is used up.
TEST_CASE("parts of an answer other than its body have a limit")
{
    for (const auto &each :
         endlessParts("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        INFO("part: " << each.name);
        recording_sink<response_head> sink;
        response_reader reader(sink, false);
        const auto passed = readUntilRejected(reader, each.begin, each.piece, EndlessBytes);
        INFO("bytes passed: " << passed);
        CHECK(passed <= MaxResponseHeadBytes + 2 * PieceBytes);
    }
}

// Guards against a client that makes the same parts of a request grow.
TEST_CASE("parts of a request other than its body have a limit")
{
    for (const auto &each :
         endlessParts("POST / HTTP/1.1",
                      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        INFO("part: " << each.name);
        recording_sink<request_head> sink;
        request_reader reader(sink, MaxHeadBytes, MaxBodyBytes);
        const auto passed = readUntilRejected(reader, each.begin, each.piece, EndlessBytes);
        INFO("bytes passed: " << passed);
        CHECK(passed <= MaxHeadBytes + 2 * PieceBytes);
    }
}

// Guards against a limit that counts the bytes of a body, or of its chunks together.
TEST_CASE("a body of any length in small chunks with extensions is read")
{
    recording_sink<response_head> sink;
    response_reader reader(sink, false);
    REQUIRE_FALSE(reader.read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").error);
    constexpr std::size_t Chunks = 100000;
    std::string unread;
    for (std::size_t i = 0; i <= Chunks; ++i) {
        unread.append(i < Chunks ? "1;name=value\r\na\r\n" : "0\r\nX-A: b\r\n\r\n");
        const auto progress = reader.read(unread);
        REQUIRE_FALSE(progress.error);
        unread.erase(0, progress.used);
    }
    CHECK(sink.body.size() == Chunks);
    CHECK(reader.done());
}
