#pragma once

// Generated code violates the naming and linter rules; diagnostics are suppressed in system headers.
#pragma GCC system_header

#include "../generated/control_generated.h"
