#include "entryfixture.h"

using namespace mimosahollow;
using namespace mimosahollow::ingress;

// Guards against callers that hold connections with heads they never finish for as long as idle connections may last.
TEST_CASE("A head must arrive within its own time")
{
    catalog::Catalog catalog = EntryFixture::defaultCatalog();
    catalog.limits.headerTimeout = milliseconds(100);
    catalog.limits.idleTimeout = seconds(3600);
    EntryFixture fixture(catalog);
    const ConnectionPointer idle = fixture.connect();
    const ConnectionPointer caller = fixture.connect();
    caller->write("GET /once/x HT");
    CHECK(fixture.runUntil([&caller] {
        return caller->isBroken;
    }));
    CHECK_FALSE(idle->isBroken);
}
