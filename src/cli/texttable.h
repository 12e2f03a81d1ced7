#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Gypsumtally
{

/// A table with columns as wide as their widest cell. Not thread-safe.
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /// Adds a row. Precondition: @p cells has as many entries as the header.
    void add(std::vector<std::string> cells);

    void write(std::ostream &out) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace Gypsumtally
