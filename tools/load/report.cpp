#include "load/report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Gypsumtally::Load
{

namespace
{

/// A column of the table: its name, value and number of decimals.
struct Column {
    const char *name;
    double (*value)(const Results &results);
    int decimals;
};

const ClassResults &ofClass(const Results &results, ServiceClass serviceClass)
{
    return results.classes[static_cast<std::size_t>(serviceClass)];
}

template<ServiceClass serviceClass>
double notRunPercent(const Results &results)
{
    const auto &measured = ofClass(results, serviceClass);
    const auto failed = measured.calls() - measured.count(CallEnd::Answered);
    return measured.calls() > 0 ? 100.0 * static_cast<double>(failed) / static_cast<double>(measured.calls()) : 0;
}

template<ServiceClass serviceClass>
double stallP99(const Results &results)
{
    return quantile(ofClass(results, serviceClass).stalls, 0.99);
}

template<ServiceClass serviceClass>
double latencyP99(const Results &results)
{
    return quantile(ofClass(results, serviceClass).latencies, 0.99);
}

double tokensPerSecond(const Results &results)
{
    return results.seconds > 0 ? results.batchTokens / results.seconds : 0;
}

const std::array columns{
    Column{"goodput_per_s", [](const Results &r) { return r.goodput(); }, 2},
    Column{"urgent_stall_p99_s", stallP99<ServiceClass::Urgent>, 2},
    Column{"bulk_stall_p99_s", stallP99<ServiceClass::Bulk>, 2},
    Column{"urgent_p99_s", latencyP99<ServiceClass::Urgent>, 2},
    Column{"bulk_p99_s", latencyP99<ServiceClass::Bulk>, 1},
    Column{"urgent_failed_%", notRunPercent<ServiceClass::Urgent>, 2},
    Column{"standard_failed_%", notRunPercent<ServiceClass::Standard>, 2},
    Column{"bulk_failed_%", notRunPercent<ServiceClass::Bulk>, 2},
    Column{"batch_fill", [](const Results &r) { return r.batchFill(); }, 3},
    Column{"tokens_per_s", tokensPerSecond, 0},
    Column{"loads", [](const Results &r) { return static_cast<double>(r.loads); }, 0},
    Column{"max_loads_in_1s", [](const Results &r) { return static_cast<double>(r.maxLoadsPerSecond); }, 0},
    Column{"store_refusals", [](const Results &r) { return static_cast<double>(r.storeRefusals); }, 0},
    Column{"cross_region_bytes_per_call", [](const Results &r) { return r.crossRegionBytesPerCall(); }, 0},
};

std::string number(double value, int decimals)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

std::string toCsv(const std::vector<LabelledResults> &rows)
{
    std::string text = "run,policy";
    for (const auto &column : columns)
        text.append(",").append(column.name);
    text += '\n';
    for (const auto &row : rows) {
        text.append(row.label).append(",").append(row.results.policy);
        for (const auto &column : columns)
            text.append(",").append(number(column.value(row.results), column.decimals));
        text += '\n';
    }
    return text;
}

std::string toJson(const std::vector<LabelledResults> &rows)
{
    boost::json::array array;
    for (const auto &row : rows) {
        boost::json::object object{{"run", row.label}, {"policy", row.results.policy}};
        for (const auto &column : columns)
            object[column.name] = column.value(row.results);
        array.push_back(std::move(object));
    }
    return boost::json::serialize(array) + "\n";
}

/// Returns a Markdown table, which is also readable as plain text.
std::string toText(const std::vector<LabelledResults> &rows)
{
    std::string text = "| run | policy |";
    std::string rule = "| --- | --- |";
    for (const auto &column : columns) {
        text.append(" ").append(column.name).append(" |");
        rule += " ---: |";
    }
    text.append("\n").append(rule).append("\n");
    for (const auto &row : rows) {
        text.append("| ").append(row.label).append(" | ").append(row.results.policy).append(" |");
        for (const auto &column : columns)
            text.append(" ").append(number(column.value(row.results), column.decimals)).append(" |");
        text += '\n';
    }
    return text;
}

constexpr double chartWidth = 760;
constexpr double chartHeight = 360;
constexpr double chartMargin = 60;
constexpr std::array lineColours{"#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b"};

struct Bounds {
    double maxX = 1e-9;
    double maxY = 1e-9;
};

Bounds boundsOf(const Chart &chart)
{
    Bounds bounds;
    for (const auto &series : chart.series) {
        for (const auto &point : series.points) {
            bounds.maxX = std::max(bounds.maxX, point.x);
            bounds.maxY = std::max(bounds.maxY, point.y);
        }
    }
    return bounds;
}

std::string textAt(double x, double y, const std::string &content, const std::string &style = "")
{
    return "<text x=\"" + number(x, 1) + "\" y=\"" + number(y, 1) + "\" " + style + ">" + content + "</text>\n";
}

std::string axes(const Chart &chart, const Bounds &bounds)
{
    constexpr int ticks = 5;
    std::string svg = textAt(chartMargin, 24, chart.title, "font-size=\"15\"");
    svg += textAt(chartWidth / 2, chartHeight - 12, chart.xLabel);
    svg += textAt(8, chartMargin - 16, chart.yLabel);
    for (int tick = 0; tick <= ticks; ++tick) {
        const double part = static_cast<double>(tick) / ticks;
        const double x = chartMargin + part * (chartWidth - 2 * chartMargin);
        const double y = chartHeight - chartMargin - part * (chartHeight - 2 * chartMargin);
        svg += textAt(x - 8, chartHeight - chartMargin + 18, number(bounds.maxX * part, bounds.maxX < 20 ? 1 : 0));
        svg += textAt(8, y + 4, number(bounds.maxY * part, bounds.maxY < 20 ? 1 : 0));
        svg += "<line x1=\"" + number(chartMargin, 1) + "\" x2=\"" + number(chartWidth - chartMargin, 1) + "\" y1=\""
               + number(y, 1) + "\" y2=\"" + number(y, 1) + "\" stroke=\"#ddd\"/>\n";
    }
    return svg;
}

} // namespace

std::string toTable(const std::vector<LabelledResults> &rows, TableFormat format)
{
    switch (format) {
    case TableFormat::Csv:
        return toCsv(rows);
    case TableFormat::Json:
        return toJson(rows);
    case TableFormat::Text:
        break;
    }
    return toText(rows);
}

std::string toSvg(const Chart &chart)
{
    const auto bounds = boundsOf(chart);
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + number(chartWidth, 0) + "\" height=\""
                      + number(chartHeight, 0) + "\" font-family=\"sans-serif\" font-size=\"11\">\n"
                      + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n" + axes(chart, bounds);
    for (std::size_t index = 0; index < chart.series.size(); ++index) {
        const auto &series = chart.series[index];
        const std::string colour = lineColours[index % lineColours.size()];
        svg += "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + colour + "\" points=\"";
        for (const auto &point : series.points) {
            const double x = chartMargin + point.x / bounds.maxX * (chartWidth - 2 * chartMargin);
            const double y = chartHeight - chartMargin - point.y / bounds.maxY * (chartHeight - 2 * chartMargin);
            svg += number(x, 1) + "," + number(y, 1) + " ";
        }
        svg += "\"/>\n";
        svg += textAt(chartWidth - 2.4 * chartMargin, chartMargin + 14.0 * static_cast<double>(index), series.name,
                      "fill=\"" + colour + "\"");
    }
    return svg + "</svg>\n";
}

Chart timeline(const std::string &title, const std::vector<LabelledResults> &rows)
{
    Chart chart{
        title, "seconds since the start", "calls per second answered within their deadline, by arrival time", {}};
    const double bucketSeconds = std::chrono::duration<double>(Results::bucket).count();
    for (const auto &row : rows) {
        Series series{row.results.policy, {}};
        for (std::size_t bucket = 0; bucket < row.results.answeredPerBucket.size(); ++bucket)
            series.points.push_back(
                {static_cast<double>(bucket) * bucketSeconds, row.results.answeredPerBucket[bucket] / bucketSeconds});
        chart.series.push_back(std::move(series));
    }
    return chart;
}

} // namespace Gypsumtally::Load
