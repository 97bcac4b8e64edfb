#include "mimosahollow/control/signedbundle.h"

#include <boost/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <type_traits>

namespace mimosahollow::control {

namespace {

// Domain separation: the signature of one role is never valid for the other.
constexpr std::string_view authorContext = "mimosahollow bundle author 1";
constexpr std::string_view approverContext = "mimosahollow bundle approver 1";

void addNumber(std::string &text, std::uint64_t number)
{
    for (int shift = 0; shift < 64; shift += 8) {
        text.push_back(static_cast<char>(number >> shift));
    }
}

/** Prefixes the field with its length, so that moving characters between adjacent fields invalidates the signature. */
void addText(std::string &text, std::string_view field)
{
    addNumber(text, field.size());
    text += field;
}

template<std::size_t Size>
std::string_view view(const std::array<std::uint8_t, Size> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::string authorSignedText(const SignedBundle &bundle)
{
    std::string text;
    addText(text, authorContext);
    addNumber(text, bundle.version);
    addNumber(text, bundle.expectedVersion);
    addText(text, view(bundle.hash));
    addText(text, bundle.author);
    return text;
}

std::string approverSignedText(const SignedBundle &bundle)
{
    std::string text;
    addText(text, approverContext);
    addText(text, authorSignedText(bundle));
    addText(text, view(bundle.authorSignature));
    addText(text, bundle.approver);
    return text;
}

const std::uint8_t *bytePointer(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

Signature sign(std::string_view text, const SecretKey &key)
{
    Signature signature{};
    crypto_sign_detached(signature.data(), nullptr, bytePointer(text), text.size(), key.data());
    return signature;
}

bool isSigned(std::string_view text, const Signature &signature, const PublicKey &key)
{
    return crypto_sign_verify_detached(signature.data(), bytePointer(text), text.size(), key.data()) == 0;
}

const Operator *findOperator(std::span<const Operator> operators, std::string_view name)
{
    const auto found = std::find_if(operators.begin(), operators.end(), [name](const Operator &candidate) {
        return candidate.name == name;
    });
    return found == operators.end() ? nullptr : &*found;
}

template<std::size_t Size>
std::string hexadecimal(const std::array<std::uint8_t, Size> &bytes)
{
    std::string text(Size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

template<std::size_t Size>
bool readHexadecimal(std::string_view text, std::array<std::uint8_t, Size> &bytes)
{
    std::size_t size = 0;
    const char *end = nullptr;
    const int result = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, &end);
    return result == 0 && size == Size && end == text.data() + text.size();
}

/** Reads the fields of a serialized bundle; @c error is the first error. */
struct BundleReader
{
    const boost::json::object &object;
    std::optional<BundleError> error;

    const boost::json::value *field(std::string_view name)
    {
        const boost::json::value *value = object.if_contains(name);
        if (value == nullptr) {
            fail(name, "is missing");
        }
        return value;
    }

    void fail(std::string_view name, std::string_view problem)
    {
        if (!error) {
            error = BundleError{BundleErrorKind::Malformed, "field \"" + std::string(name) + "\" " + std::string(problem)};
        }
    }

    void read(std::string_view name, std::string &to)
    {
        const boost::json::value *value = field(name);
        if (value != nullptr && value->is_string()) {
            to = std::string(std::string_view(value->get_string()));
        } else {
            fail(name, "must be a string");
        }
    }

    void read(std::string_view name, std::uint64_t &to)
    {
        const boost::json::value *value = field(name);
        if (value != nullptr && value->is_int64() && value->get_int64() >= 0) {
            to = static_cast<std::uint64_t>(value->get_int64());
        } else {
            fail(name, "must be a number of at least 0");
        }
    }

    template<std::size_t Size>
    void read(std::string_view name, std::array<std::uint8_t, Size> &to)
    {
        std::string text;
        read(name, text);
        if (!readHexadecimal(text, to)) {
            fail(name, "must have " + std::to_string(Size * 2) + " hexadecimal digits");
        }
    }
};

BundleError makeError(BundleErrorKind kind, std::string message)
{
    return {kind, std::move(message)};
}

} // namespace

KeyPair keyPairFromSeed(const std::array<std::uint8_t, 32> &seed)
{
    KeyPair pair;
    crypto_sign_seed_keypair(pair.publicKey.data(), pair.secretKey.data(), seed.data());
    return pair;
}

Digest bundleHash(std::string_view text)
{
    Digest digest{};
    crypto_generichash(digest.data(), digest.size(), bytePointer(text), text.size(), nullptr, 0);
    return digest;
}

SignedBundle signBundle(std::string text, Version version, Version expectedVersion, std::string author, const SecretKey &key)
{
    SignedBundle bundle;
    bundle.version = version;
    bundle.expectedVersion = expectedVersion;
    bundle.text = std::move(text);
    bundle.hash = bundleHash(bundle.text);
    bundle.author = std::move(author);
    bundle.authorSignature = sign(authorSignedText(bundle), key);
    return bundle;
}

void approveBundle(SignedBundle &bundle, std::string approver, const SecretKey &key)
{
    bundle.approver = std::move(approver);
    bundle.approverSignature = sign(approverSignedText(bundle), key);
}

std::optional<BundleError> verifyBundle(const SignedBundle &bundle, std::span<const Operator> operators)
{
    if (bundleHash(bundle.text) != bundle.hash) {
        return makeError(BundleErrorKind::WrongHash, "the text of the bundle does not have the hash that was signed");
    }
    if (bundle.approver.empty()) {
        return makeError(BundleErrorKind::NotApproved, "a second operator must approve the bundle");
    }
    const Operator *author = findOperator(operators, bundle.author);
    const Operator *approver = findOperator(operators, bundle.approver);
    if (author == nullptr || approver == nullptr) {
        return makeError(BundleErrorKind::UnknownOperator, "\"" + (author == nullptr ? bundle.author : bundle.approver) + "\" is not an operator");
    }
    if (!author->author || !approver->approver) {
        return makeError(BundleErrorKind::WrongRole, !author->author ? author->name + " may not author bundles" : approver->name + " may not approve bundles");
    }
    if (author->name == approver->name || author->key == approver->key) {
        return makeError(BundleErrorKind::SameOperator, "author and approver must be two operators");
    }
    if (!isSigned(authorSignedText(bundle), bundle.authorSignature, author->key)) {
        return makeError(BundleErrorKind::WrongSignature, "the signature of the author is wrong");
    }
    if (!isSigned(approverSignedText(bundle), bundle.approverSignature, approver->key)) {
        return makeError(BundleErrorKind::WrongSignature, "the signature of the approver is wrong");
    }
    return std::nullopt;
}

std::string packBundle(const SignedBundle &bundle)
{
    return boost::json::serialize(boost::json::object{
        {"version", bundle.version},
        {"expected", bundle.expectedVersion},
        {"hash", hexadecimal(bundle.hash)},
        {"author", bundle.author},
        {"author_signature", hexadecimal(bundle.authorSignature)},
        {"approver", bundle.approver},
        {"approver_signature", hexadecimal(bundle.approverSignature)},
        {"text", bundle.text},
    });
}

std::variant<SignedBundle, BundleError> unpackBundle(std::string_view packed)
{
    boost::json::error_code code;
    const boost::json::value value = boost::json::parse(packed, code);
    if (code || !value.is_object()) {
        return makeError(BundleErrorKind::Malformed, "a packed bundle is a JSON object");
    }
    SignedBundle bundle;
    BundleReader reader{value.get_object(), std::nullopt};
    reader.read("version", bundle.version);
    reader.read("expected", bundle.expectedVersion);
    reader.read("hash", bundle.hash);
    reader.read("author", bundle.author);
    reader.read("author_signature", bundle.authorSignature);
    reader.read("approver", bundle.approver);
    reader.read("approver_signature", bundle.approverSignature);
    reader.read("text", bundle.text);
    if (reader.error) {
        return std::move(*reader.error);
    }
    return bundle;
}

} // namespace mimosahollow::control
