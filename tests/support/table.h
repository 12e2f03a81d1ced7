#pragma once

#include "support/knownred.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Gypsumtally::Testing
{

/// Returns the name of a row: its member `name`, the row itself if it is a string, or else "row" and its index.
template<typename Row>
std::string rowName(const Row &row, std::size_t index)
{
    if constexpr (requires { std::string_view(row.name); })
        return std::string(std::string_view(row.name));
    else if constexpr (std::is_convertible_v<const Row &, std::string_view>)
        return std::string(std::string_view(row));
    else
        return "row " + std::to_string(index);
}

/// Returns the indices of the rows of a table that are not passed over (see rowsToRun). Criterion copies test
/// parameters between processes, so the parameter is an index rather than a row.
template<typename Table>
std::vector<std::size_t> tableRowsToRun(std::string_view test, const Table &table)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < std::size(table); ++i)
        names.push_back(rowName(table[i], i));
    return rowsToRun(test, names);
}

} // namespace Gypsumtally::Testing

/// Defines a test that runs once for each row of the static array TABLE. The body accesses the row as `row`.
#define TABLE_TEST(SUITE, NAME, TABLE) \
    static void SUITE##NAME##Row(const std::remove_reference_t<decltype((TABLE)[0])> &row); \
    ParameterizedTestParameters(SUITE, NAME) \
    { \
        static auto rows = Gypsumtally::Testing::tableRowsToRun(#SUITE "/" #NAME, TABLE); \
        return cr_make_param_array(std::size_t, rows.data(), rows.size()); \
    } \
    ParameterizedTest(std::size_t *index, SUITE, NAME) \
    { \
        SUITE##NAME##Row((TABLE)[*index]); \
    } \
    static void SUITE##NAME##Row(const std::remove_reference_t<decltype((TABLE)[0])> &row)
