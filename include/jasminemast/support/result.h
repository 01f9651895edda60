// Numbered result codes: every refusal and failure that is reported to an operator or a caller.
//
// results.def includes the table, one file per range of numbers; docs/results.md explains each entry.
#pragma once

#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>

namespace jasminemast
{

enum class ResultCode : int {
#define JASMINEMAST_RESULT(name, number, exitStatus, text) name = number,
#include "jasminemast/support/results.def"
#undef JASMINEMAST_RESULT
};

/// One row of the table of result codes.
struct ResultInfo
{
    ResultCode code;
    std::string_view name;
    int exitStatus; ///< process exit status when a command ends with this code
    std::string_view text;
};

/// All rows, ordered as in results.def.
std::span<const ResultInfo> allResults();

/// The row of \p code.
const ResultInfo &resultInfo(ResultCode code);

inline int number(ResultCode code)
{
    return static_cast<int>(code);
}

/// The row with that number, if there is one.
std::optional<ResultCode> resultFromNumber(int number);

/// An error with a result code and a detail that says what exactly was wrong.
class ResultError : public std::runtime_error
{
public:
    ResultError(ResultCode code, const std::string &detail);

    [[nodiscard]] ResultCode code() const
    {
        return m_code;
    }
    [[nodiscard]] const std::string &detail() const
    {
        return m_detail;
    }

private:
    ResultCode m_code;
    std::string m_detail;
};

} // namespace jasminemast
