// Lookup in the table of result codes.
#include "jasminemast/support/result.h"

#include <algorithm>
#include <array>

namespace jasminemast
{

namespace
{

constexpr std::array Table = {
#define JASMINEMAST_RESULT(name, number, exitStatus, text) ResultInfo {ResultCode::name, #name, exitStatus, text},
#include "jasminemast/support/results.def"
#undef JASMINEMAST_RESULT
};

} // namespace

std::span<const ResultInfo> allResults()
{
    return Table;
}

const ResultInfo &resultInfo(ResultCode code)
{
    const auto *row
        = std::find_if(Table.begin(), Table.end(), [code](const ResultInfo &info) { return info.code == code; });
    if (row == Table.end()) {
        return resultInfo(ResultCode::InternalError);
    }
    return *row;
}

std::optional<ResultCode> resultFromNumber(int number)
{
    for (const ResultInfo &info : Table) {
        if (static_cast<int>(info.code) == number) {
            return info.code;
        }
    }
    return std::nullopt;
}

ResultError::ResultError(ResultCode code, const std::string &detail)
    : std::runtime_error(std::string(resultInfo(code).text) + ": " + detail)
    , m_code(code)
    , m_detail(detail)
{
}

} // namespace jasminemast
