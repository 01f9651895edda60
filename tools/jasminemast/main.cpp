// The one program: dispatches to the sub-command named first on the command line.
#include "jasminemast/support/result.h"

#include <cstring>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace jasminemast;
    if (argc >= 2 && std::strcmp(argv[1], "version") == 0) {
        std::cout << "jasminemast " << JASMINEMAST_VERSION << '\n';
        return 0;
    }
    std::cerr << "usage: jasminemast version\n";
    return resultInfo(ResultCode::UsageError).exitStatus;
}
