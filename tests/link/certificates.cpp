#include "certificates.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <unistd.h>

#include <cstdio>
#include <memory>
#include <stdexcept>

namespace mimosahollow::link::test {

namespace {

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using File = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

void require(bool condition, const char *what)
{
    if (!condition) {
        throw std::runtime_error(what);
    }
}

Key makeKey()
{
    Key key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
    require(key != nullptr, "EVP_EC_gen");
    return key;
}

Certificate makeCertificate(const std::string &name, EVP_PKEY *key, X509 *issuer, EVP_PKEY *issuerKey)
{
    Certificate certificate(X509_new(), &X509_free);
    X509 *raw = certificate.get();
    constexpr long validSeconds = 24 * 3600;
    require(X509_set_version(raw, X509_VERSION_3) == 1, "X509_set_version");
    require(ASN1_INTEGER_set(X509_get_serialNumber(raw), issuer == nullptr ? 1 : 2) == 1, "serial number");
    require(X509_gmtime_adj(X509_getm_notBefore(raw), -validSeconds) != nullptr, "notBefore");
    require(X509_gmtime_adj(X509_getm_notAfter(raw), validSeconds) != nullptr, "notAfter");
    require(X509_set_pubkey(raw, key) == 1, "X509_set_pubkey");
    X509_NAME *subject = X509_get_subject_name(raw);
    const auto *text = reinterpret_cast<const unsigned char *>(name.c_str());
    require(X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, text, -1, -1, 0) == 1, "subject");
    require(X509_set_issuer_name(raw, issuer == nullptr ? subject : X509_get_subject_name(issuer)) == 1, "issuer");
    X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, issuer == nullptr ? "critical,CA:TRUE" : "critical,CA:FALSE");
    require(extension != nullptr && X509_add_ext(raw, extension, -1) == 1, "basic constraints");
    X509_EXTENSION_free(extension);
    require(X509_sign(raw, issuerKey, EVP_sha256()) != 0, "X509_sign");
    return certificate;
}

File open(const std::string &path)
{
    File file(std::fopen(path.c_str(), "wb"), &std::fclose);
    require(file != nullptr, "fopen");
    return file;
}

} // namespace

Folder::Folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "mimosahollow-link-XXXXXX").string();
    require(::mkdtemp(pattern.data()) != nullptr, "mkdtemp");
    m_path = pattern;
}

Folder::~Folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string Folder::file(const std::string &name) const
{
    return (m_path / name).string();
}

TlsFiles makeCertificates(const Folder &folder, const std::string &name)
{
    const Key authorityKey = makeKey();
    const Certificate authority = makeCertificate(name + " authority", authorityKey.get(), nullptr, authorityKey.get());
    const Key key = makeKey();
    const Certificate certificate = makeCertificate(name, key.get(), authority.get(), authorityKey.get());
    TlsFiles files{folder.file(name + ".crt"), folder.file(name + ".key"), folder.file(name + "-authority.crt")};
    require(PEM_write_X509(open(files.certificate).get(), certificate.get()) == 1, "certificate file");
    require(PEM_write_PrivateKey(open(files.privateKey).get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1, "key file");
    require(PEM_write_X509(open(files.authority).get(), authority.get()) == 1, "authority file");
    return files;
}

} // namespace mimosahollow::link::test
