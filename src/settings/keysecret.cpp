#include "mimosahollow/settings/keysecret.h"

#include <sodium.h>

#include <fstream>

namespace mimosahollow::settings {

namespace {

// Lets a person, or a scanner for leaked secrets, recognise a key.
constexpr std::string_view keyPrefix = "mh-";
constexpr std::size_t keyBytes = 32;

std::optional<std::array<std::uint8_t, 32>> bytesFromHex(std::string_view text)
{
    std::array<std::uint8_t, 32> bytes{};
    std::size_t length = 0;
    const char *end = nullptr;
    const int status = sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &length, &end);
    if (status != 0 || length != bytes.size() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace

std::optional<KeySecret> readKeySecret(const std::string &file)
{
    std::ifstream input(file);
    std::string text;
    if (!(input >> text)) {
        return std::nullopt;
    }
    return bytesFromHex(text);
}

KeyHash hashKey(const KeySecret &secret, std::string_view key)
{
    KeyHash hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(key.data()), key.size(), secret.data(), secret.size());
    return hash;
}

std::string makeKey()
{
    std::array<unsigned char, keyBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(sodium_base64_ENCODED_LEN(keyBytes, sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    text.pop_back(); // terminating zero
    return std::string(keyPrefix) + text;
}

std::string toHex(const KeyHash &hash)
{
    std::string text(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    text.pop_back(); // terminating zero
    return text;
}

std::optional<KeyHash> hashFromHex(std::string_view text)
{
    return bytesFromHex(text);
}

} // namespace mimosahollow::settings
