// Access to libmicrohttpd connections, shared by HttpServer and HttpExchange.
#pragma once

#include <microhttpd.h>

namespace jasminemast
{

inline int descriptorOf(MHD_Connection *connection)
{
    return MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

} // namespace jasminemast
