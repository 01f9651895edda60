// Command-line flags shared by several sub-commands.
#pragma once

#include <gflags/gflags_declare.h>

DECLARE_string(listen);
DECLARE_string(name);
