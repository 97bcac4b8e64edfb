#include "tlscontext.h"

#include <openssl/ssl.h>

namespace mimosahollow::link {

namespace ssl = boost::asio::ssl;

std::variant<TlsContext, std::string> loadTls(const TlsFiles &files)
{
    const auto context = std::make_shared<ssl::context>(ssl::context::tls);
    boost::system::error_code error;
    const auto failed = [&error](const std::string &file) {
        return "cannot use the TLS file " + file + ": " + error.message();
    };
    // Only instances of one fleet talk to each other, so nothing older than TLS 1.3 is needed.
    if (SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_3_VERSION) != 1) {
        return std::string("the TLS library does not support TLS 1.3");
    }
    context->use_certificate_chain_file(files.certificate, error);
    if (error) {
        return failed(files.certificate);
    }
    context->use_private_key_file(files.privateKey, ssl::context::pem, error);
    if (error) {
        return failed(files.privateKey);
    }
    context->load_verify_file(files.authority, error);
    if (error) {
        return failed(files.authority);
    }
    // No host names: instances are known by addresses, and every holder of a certificate of the fleet's authority belongs to it.
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, error);
    if (error) {
        return failed(files.authority);
    }
    // A resumed session would skip the check of the certificate against a reloaded authority.
    SSL_CTX_set_session_cache_mode(context->native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(context->native_handle(), 0);
    return context;
}

} // namespace mimosahollow::link
