#pragma once

#include "mimosahollow/catalog/catalog.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace mimosahollow::catalog {

/** Why a text is not a catalog. */
struct CatalogProblem
{
    std::string message;
};

/** Reads a catalog as an operator wrote it. */
using CatalogDecoder = std::function<std::variant<Catalog, CatalogProblem>(std::string_view text)>;

} // namespace mimosahollow::catalog
