// Command-line flags that several sub-commands share.
#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(listen);
DECLARE_string(name);
