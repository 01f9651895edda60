// Definitions of the shared flags.
#include "flags.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address and port to listen on");
DEFINE_string(name, "", "name shown in responses");
