#pragma once

// Generated code follows neither the naming rules nor the linter's; as a system header it is exempt.
#pragma GCC system_header

#include "../generated/control_generated.h"
