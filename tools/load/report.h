#pragma once

#include "load/results.h"

#include "common/enumtable.h"

#include <string>
#include <vector>

namespace Gypsumtally::Load
{

enum class TableFormat {
    Text,
    Csv,
    Json,
};

/// The results of a run with a label, such as the name of its scenario.
struct LabelledResults {
    std::string label;
    Results results;
};

/// Returns a table with one row per run. Thread-safe.
std::string toTable(const std::vector<LabelledResults> &rows, TableFormat format);

struct Point {
    double x = 0;
    double y = 0;
};

/// One line of a chart.
struct Series {
    std::string name;
    std::vector<Point> points;
};

struct Chart {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<Series> series;
};

/// Returns a line chart as an SVG document. Thread-safe.
std::string toSvg(const Chart &chart);

/// Returns a chart of the calls per second answered within their deadline over the run, with one line per row.
/// Thread-safe.
Chart timeline(const std::string &title, const std::vector<LabelledResults> &rows);

} // namespace Gypsumtally::Load

namespace Gypsumtally
{

template<>
inline constexpr EnumTable<Load::TableFormat, 3> enumNames<Load::TableFormat>{{
    {Load::TableFormat::Text, "text"},
    {Load::TableFormat::Csv, "csv"},
    {Load::TableFormat::Json, "json"},
}};

} // namespace Gypsumtally
