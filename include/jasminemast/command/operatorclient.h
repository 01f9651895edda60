// Blocking requests from the command line to a node's operator interface.
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace jasminemast
{

/// Fetches \p path (with query) from the node at \p node, an ADDRESS:PORT, and parses the JSON response.
/// \throws ResultError with NodeUnreachable or NodeAnswerInvalid.
nlohmann::json fetchFromNode(const std::string &node, const std::string &path);

/// Sends \p body in a POST request instead; otherwise like fetchFromNode().
nlohmann::json postToNode(const std::string &node, const std::string &path, const std::string &body);

} // namespace jasminemast
