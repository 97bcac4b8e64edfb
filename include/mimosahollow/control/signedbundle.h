#pragma once

#include "mimosahollow/control/command.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mimosahollow::control {

using PublicKey = std::array<std::uint8_t, 32>; /**< Ed25519. */
using SecretKey = std::array<std::uint8_t, 64>;
using Signature = std::array<std::uint8_t, 64>;

/** An operator may hold several roles. */
struct Operator
{
    std::string name;
    PublicKey key{};
    bool author = false;
    bool approver = false;
};

struct KeyPair
{
    PublicKey publicKey{};
    SecretKey secretKey{};
};

/** A bundle on its way from its author to the fleet. */
struct SignedBundle
{
    Version version = 0; /**< Of the bundle; the one in its text must be the same. */
    Version expectedVersion = 0; /**< Version in force that it was written against. */
    std::string text; /**< TOML. */
    Digest hash{}; /**< BLAKE2b of the text. */
    std::string author;
    Signature authorSignature{};
    std::string approver; /**< Empty until it is approved. */
    Signature approverSignature{};
};

enum class BundleErrorKind : std::uint8_t {
    Malformed,
    WrongHash,
    UnknownOperator,
    WrongRole,
    SameOperator, /**< Author and approver are one operator, by name or by key. */
    WrongSignature,
    NotApproved,
};

struct BundleError
{
    BundleErrorKind kind{};
    std::string message;
};

[[nodiscard]] KeyPair keyPairFromSeed(const std::array<std::uint8_t, 32> &seed);
[[nodiscard]] Digest bundleHash(std::string_view text);

/** Packs and signs @p text as its author. */
[[nodiscard]] SignedBundle signBundle(std::string text, Version version, Version expectedVersion, std::string author, const SecretKey &key);
/** Adds the approver's signature, which covers the author's. */
void approveBundle(SignedBundle &bundle, std::string approver, const SecretKey &key);

/** Nothing when hash, roles and both signatures are right. */
[[nodiscard]] std::optional<BundleError> verifyBundle(const SignedBundle &bundle, std::span<const Operator> operators);

/** JSON text with hexadecimal signatures, for files and the admin interface. */
[[nodiscard]] std::string packBundle(const SignedBundle &bundle);
[[nodiscard]] std::variant<SignedBundle, BundleError> unpackBundle(std::string_view packed);

/** Readable lines, "+ adapter base:a@1", "- key k" or "~ organisation o: rate 10 -> 20"; compares by name, not by id. */
[[nodiscard]] std::vector<std::string> bundleDifference(const Configuration &before, const Configuration &after);

} // namespace mimosahollow::control
