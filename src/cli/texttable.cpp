#include "cli/texttable.h"

#include <algorithm>
#include <ostream>

namespace Gypsumtally
{

TextTable::TextTable(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> cells)
{
    m_rows.push_back(std::move(cells));
}

void TextTable::write(std::ostream &out) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

} // namespace Gypsumtally
