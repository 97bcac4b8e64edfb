#include "mimosahollow/control/signedbundle.h"
#include "mimosahollow/settings/bundle.h"

#include <catch2/catch.hpp>

using namespace mimosahollow;
using namespace mimosahollow::control;

namespace {

KeyPair keyPair(std::uint8_t number)
{
    return keyPairFromSeed({number});
}

Configuration parsed(std::string_view text)
{
    return std::get<Configuration>(settings::parseBundle(text));
}

} // namespace

// Guards against a bundle that is accepted with the approval of a single operator, or of one without the required role.
TEST_CASE("a bundle requires an author and a different approver")
{
    const KeyPair ann = keyPair(1);
    const KeyPair bob = keyPair(2);
    // Name, key, may author bundles, may approve bundles.
    const std::vector<Operator> operators{{"ann", ann.publicKey, true, true},
                                          {"bob", bob.publicKey, false, true},
                                          {"reader", keyPair(3).publicKey, false, false},
                                          {"alias", ann.publicKey, false, true}};
    SignedBundle bundle = signBundle("version = 2\n", 2, 1, "ann", ann.secretKey);
    REQUIRE(verifyBundle(bundle, operators)->kind == BundleErrorKind::NotApproved);

    SECTION("two operators with the required roles")
    {
        approveBundle(bundle, "bob", bob.secretKey);
        REQUIRE_FALSE(verifyBundle(bundle, operators));
        const SignedBundle restored = std::get<SignedBundle>(unpackBundle(packBundle(bundle)));
        REQUIRE_FALSE(verifyBundle(restored, operators));
        REQUIRE(restored.text == bundle.text);

        SECTION("any change invalidates the signatures")
        {
            SignedBundle changed = bundle;
            changed.text += "#";
            REQUIRE(verifyBundle(changed, operators)->kind == BundleErrorKind::WrongHash);
            changed.hash = bundleHash(changed.text);
            REQUIRE(verifyBundle(changed, operators)->kind == BundleErrorKind::WrongSignature);
            changed = bundle;
            changed.version = 3;
            REQUIRE(verifyBundle(changed, operators)->kind == BundleErrorKind::WrongSignature);
            changed = bundle;
            changed.expectedVersion = 0;
            REQUIRE(verifyBundle(changed, operators)->kind == BundleErrorKind::WrongSignature);
            changed = bundle;
            changed.approverSignature = changed.authorSignature;
            REQUIRE(verifyBundle(changed, operators)->kind == BundleErrorKind::WrongSignature);
        }
    }
    SECTION("author and approver with the same name or key")
    {
        approveBundle(bundle, "ann", ann.secretKey);
        REQUIRE(verifyBundle(bundle, operators)->kind == BundleErrorKind::SameOperator);
        approveBundle(bundle, "alias", ann.secretKey);
        REQUIRE(verifyBundle(bundle, operators)->kind == BundleErrorKind::SameOperator);
    }
    SECTION("wrong roles")
    {
        approveBundle(bundle, "reader", keyPair(3).secretKey);
        REQUIRE(verifyBundle(bundle, operators)->kind == BundleErrorKind::WrongRole);
        SignedBundle other = signBundle("version = 2\n", 2, 1, "bob", bob.secretKey);
        approveBundle(other, "ann", ann.secretKey);
        REQUIRE(verifyBundle(other, operators)->kind == BundleErrorKind::WrongRole);
    }
    SECTION("a signature by another key, or by an unknown operator")
    {
        approveBundle(bundle, "bob", keyPair(3).secretKey);
        REQUIRE(verifyBundle(bundle, operators)->kind == BundleErrorKind::WrongSignature);
        approveBundle(bundle, "nobody", bob.secretKey);
        REQUIRE(verifyBundle(bundle, operators)->kind == BundleErrorKind::UnknownOperator);
    }
    SECTION("a truncated file")
    {
        const std::string packed = packBundle(bundle);
        for (std::size_t size = 0; size < packed.size(); ++size) {
            REQUIRE(std::holds_alternative<BundleError>(unpackBundle(packed.substr(0, size))));
        }
        REQUIRE(std::get<BundleError>(unpackBundle("{}")).message.find("version") != std::string::npos);
    }
}

// Guards against changes that are missing from the difference shown to the approver.
TEST_CASE("bundle differences match elements by name")
{
    const std::string start = "version = 1\nbase_models = [\"base\"]\n"
                              "[[domain]]\nname = \"a\"\nshare = 1.0\n"
                              "[[organisation]]\nname = \"o\"\nrate = 10\nburst = 100\n"
                              "[[organisation]]\nname = \"p\"\nrate = 10\nburst = 100\n";
    const std::string hash(63, '0');
    const Configuration before = parsed(start + "[[key]]\nname = \"k\"\norganisation = \"o\"\nhash = \"" + hash + "1\"\n");
    REQUIRE(bundleDifference(before, before).empty());
    const Configuration after = parsed("version = 2\nbase_models = [\"base\"]\n"
                                       "[[domain]]\nname = \"a\"\nshare = 0.5\n"
                                       "[[organisation]]\nname = \"p\"\nrate = 10\nburst = 100\n"
                                       "[[organisation]]\nname = \"o\"\nrate = 20\nburst = 100\n"
                                       "[[key]]\nname = \"k\"\norganisation = \"o\"\nhash = \""
                                       + hash + "2\"\n" + "[[adapter]]\nbase = \"base\"\nname = \"x\"\nversion = \"1\"\norganisations = [\"o\"]\n");
    const auto lines = bundleDifference(before, after);
    REQUIRE(lines
            == std::vector<std::string>{"+ adapter base:x@1: default no, organisations [o]",
                                        "~ failure domain a: share 1 -> 0.5",
                                        "~ key k: hash " + hash + "1 -> " + hash + "2",
                                        "~ organisation o: rate 10 -> 20"});
    REQUIRE(bundleDifference(after, before)[0] == "- adapter base:x@1");
}
