#include "net/address.h"
#include "net_test_support.h"
#include "test_certificate.h"

#include <openssl/ssl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

using namespace orchidlead::net;

namespace {

struct tls_response
{
    std::string protocol; ///< negotiated by ALPN
    std::string text;
};

/// Sends a request over TLS and reads the whole response. Blocks, so it needs its own thread.
tls_response requestOverTls(std::uint16_t port, const std::string &request)
{
    SSL_CTX *context = SSL_CTX_new(TLS_client_method());
    SSL *ssl = SSL_new(context);
    const std::string offered = "\x02h2\x08http/1.1";
    SSL_set_alpn_protos(ssl, reinterpret_cast<const unsigned char *>(offered.data()),
                        static_cast<unsigned>(offered.size()));
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = toKernelAddress({"127.0.0.1", port});
    tls_response answer;
    if (::connect(fd, address->get(), address->length) == 0 && SSL_set_fd(ssl, fd) == 1
        && SSL_connect(ssl) == 1) {
        const unsigned char *name = nullptr;
        unsigned length = 0;
        SSL_get0_alpn_selected(ssl, &name, &length);
        answer.protocol.assign(reinterpret_cast<const char *>(name), length);
        SSL_write(ssl, request.data(), static_cast<int>(request.size()));
        std::array<char, 65536> buffer{};
        for (int n = 0; (n = SSL_read(ssl, buffer.data(), buffer.size())) > 0;)
            answer.text.append(buffer.data(), static_cast<std::size_t>(n));
    }
    SSL_free(ssl);
    SSL_CTX_free(context);
    ::close(fd);
    return answer;
}

} // namespace

// HTTP/2 is not offered: over HTTP/2, libwebsockets 4.1.6 silently drops header fields that it does
// not recognise, so a call that must not be repeated would lose its idempotency key.
TEST_CASE("Over TLS, requests and responses arrive whole with all header fields")
{
    test_loop loop;
    const test_certificate certificate;
    http_server_options options;
    options.tlsCertificateFile = certificate.certificateFile();
    options.tlsKeyFile = certificate.keyFile();
    http_request seen;
    const std::string large(500000, 'y');
    const auto server = serve(
        loop,
        [&](http_request &&request, const response_ptr &response) {
            seen = std::move(request);
            response->begin(200, {});
            response->write(large);
            response->finish();
        },
        options);
    const std::string body(200000, 'x');
    const std::string request = "POST /run HTTP/1.1\r\nhost: x\r\nidempotency-key: k-1\r\n"
                                "connection: close\r\ncontent-length: 200000\r\n\r\n"
        + body;
    tls_response got;
    std::thread client([&] {
        got = requestOverTls(server->port(), request);
        loop->post([&] { loop->stop(); });
    });
    const bool ended = loop.run();
    client.join();

    REQUIRE(ended);
    CHECK(got.protocol == "http/1.1");
    CHECK_THAT(got.text, Catch::Matchers::StartsWith("HTTP/1.1 200 "));
    CHECK(got.text.size() > large.size());
    CHECK(got.text.ends_with("0\r\n\r\n"));
    CHECK(findHeader(seen.headers, "idempotency-key") == "k-1");
    CHECK((seen.body == body));
}

TEST_CASE("A server with a missing certificate file is not created")
{
    test_loop loop;
    http_server_options options;
    options.listen = {"127.0.0.1", 0};
    options.tlsCertificateFile = "/nowhere/certificate.pem";
    options.tlsKeyFile = "/nowhere/key.pem";

    const auto server = http_server::create(*loop, options, {});

    REQUIRE_FALSE(server.has_value());
    CHECK_THAT(server.error().what, Catch::Matchers::Contains("certificate.pem"));
}

TEST_CASE("A TLS server closes connections of clients without TLS")
{
    test_loop loop;
    const test_certificate certificate;
    http_server_options options;
    options.tlsCertificateFile = certificate.certificateFile();
    options.tlsKeyFile = certificate.keyFile();
    int handled = 0;
    const auto server = serve(
        loop, [&](http_request &&, const response_ptr &) { ++handled; }, options);

    CHECK(callAndWait(loop, callTo(server->port(), "x")).end == call_end::Broken);
    CHECK(handled == 0);
    CHECK(loop.runUntil([&] { return server->connections() == 0; }));
}
