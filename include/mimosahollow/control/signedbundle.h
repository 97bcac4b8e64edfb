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

/** An operator and the roles it holds; an operator may hold both. */
struct Operator
{
    std::string name;
    PublicKey key{};
    bool author = false; /**< May author bundles. */
    bool approver = false; /**< May approve bundles. */
};

struct KeyPair
{
    PublicKey publicKey{};
    SecretKey secretKey{};
};

/** The text of a bundle with the signatures of its author and approver. */
struct SignedBundle
{
    Version version = 0; /**< Version of the bundle; must equal the version in its text. */
    Version expectedVersion = 0; /**< Version that must be in force when the bundle is applied. */
    std::string text; /**< TOML. */
    Digest hash{}; /**< BLAKE2b hash of the text. */
    std::string author;
    Signature authorSignature{};
    std::string approver; /**< Empty until the bundle is approved. */
    Signature approverSignature{};
};

enum class BundleErrorKind : std::uint8_t {
    Malformed,
    WrongHash,
    UnknownOperator,
    WrongRole,
    SameOperator, /**< Author and approver have the same name or the same key. */
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

/** Creates a bundle from @p text, signed by its author. */
[[nodiscard]] SignedBundle signBundle(std::string text, Version version, Version expectedVersion, std::string author, const SecretKey &key);
/** Adds the signature of the approver, which also covers the signature of the author. */
void approveBundle(SignedBundle &bundle, std::string approver, const SecretKey &key);

/** Checks the hash, the roles and both signatures. Returns nothing when all are valid. */
[[nodiscard]] std::optional<BundleError> verifyBundle(const SignedBundle &bundle, std::span<const Operator> operators);

/** Serializes a bundle to JSON, with hash and signatures in hexadecimal, for files and the admin interface. */
[[nodiscard]] std::string packBundle(const SignedBundle &bundle);
[[nodiscard]] std::variant<SignedBundle, BundleError> unpackBundle(std::string_view packed);

/**
 * Human-readable differences, one per line: "+ adapter base:a@1", "- key k" or "~ organisation o: rate 10 -> 20".
 *
 * Elements are matched by name, not by id.
 */
[[nodiscard]] std::vector<std::string> bundleDifference(const Configuration &before, const Configuration &after);

} // namespace mimosahollow::control
