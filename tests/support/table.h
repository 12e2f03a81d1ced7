#pragma once

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <array>
#include <cstddef>

namespace Gypsumtally::Testing
{

/// The row indices of a table with N rows. Criterion copies test parameters between processes, so the parameter is an
/// index rather than a row.
template<std::size_t N>
inline auto rowNumbers = [] {
    std::array<std::size_t, N> rows{};
    for (std::size_t i = 0; i < N; ++i)
        rows[i] = i;
    return rows;
}();

} // namespace Gypsumtally::Testing

/// Defines a test that runs once for each row of the static array TABLE. The body accesses the row as `row`.
#define TABLE_TEST(SUITE, NAME, TABLE) \
    static void SUITE##NAME##Row(const std::remove_reference_t<decltype((TABLE)[0])> &row); \
    ParameterizedTestParameters(SUITE, NAME) \
    { \
        auto &rows = Gypsumtally::Testing::rowNumbers<std::size(TABLE)>; \
        return cr_make_param_array(std::size_t, rows.data(), rows.size()); \
    } \
    ParameterizedTest(std::size_t *index, SUITE, NAME) \
    { \
        SUITE##NAME##Row((TABLE)[*index]); \
    } \
    static void SUITE##NAME##Row(const std::remove_reference_t<decltype((TABLE)[0])> &row)
