// Encoding of data frames, which bypass the archive to save a copy.
#include "jasminemast/call/messages.h"

#include <cstring>

namespace jasminemast
{

std::string encodeDataFrame(std::uint64_t stream, std::string_view bytes)
{
    std::string payload;
    payload.reserve(sizeof(stream) + bytes.size());
    payload.append(reinterpret_cast<const char *>(&stream), sizeof(stream));
    payload.append(bytes);
    return payload;
}

DataFrame decodeDataFrame(std::string_view payload)
{
    DataFrame frame;
    if (payload.size() < sizeof(frame.stream)) {
        throw ResultError(ResultCode::FrameMalformed, "data frame without a stream number");
    }
    std::memcpy(&frame.stream, payload.data(), sizeof(frame.stream));
    frame.bytes = payload.substr(sizeof(frame.stream));
    return frame;
}

} // namespace jasminemast
