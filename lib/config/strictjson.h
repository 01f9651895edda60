// Strict parsing of untrusted JSON: bounded depth, no duplicate keys, errors that name the position.
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace jasminemast
{

/// Parses \p bytes as one JSON value.
/// \throws ResultError with TicketNotJson, TicketTooDeep, TicketDuplicateKey or, for a number that no type can hold,
/// TicketWrongType. The detail starts with the JSON pointer of the error's position and is valid UTF-8.
nlohmann::json parseStrictJson(std::string_view bytes, std::size_t maxDepth);

/// The JSON pointer of \p key below \p path, for messages: long keys are truncated, control characters replaced.
std::string childPath(const std::string &path, std::string_view key);

} // namespace jasminemast
