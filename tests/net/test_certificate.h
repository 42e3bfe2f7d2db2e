#pragma once

#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

namespace orchidlead::net {

/// A self-signed certificate and its key, in temporary files deleted by the destructor.
class test_certificate
{
public:
    test_certificate()
    {
        std::string name = (std::filesystem::temp_directory_path() / "tls-XXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        m_directory = name;
        EVP_PKEY *key = EVP_EC_gen("P-256");
        X509 *certificate = X509_new();
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate), -3600);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_sign(certificate, key, EVP_sha256());
        std::FILE *file = std::fopen(certificateFile().c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
        file = std::fopen(keyFile().c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }
    ~test_certificate() { std::filesystem::remove_all(m_directory); }
    test_certificate(const test_certificate &) = delete;
    test_certificate &operator=(const test_certificate &) = delete;

    [[nodiscard]] std::string certificateFile() const { return m_directory / "certificate.pem"; }
    [[nodiscard]] std::string keyFile() const { return m_directory / "key.pem"; }

private:
    std::filesystem::path m_directory;
};

} // namespace orchidlead::net
