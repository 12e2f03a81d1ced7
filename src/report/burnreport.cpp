#include "report/burnreport.h"

#include "yaml/duration.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace Gypsumtally
{

namespace
{

WindowBurn burnOf(const WindowCounts &counts, double objectiveShare)
{
    RequestCounts sum;
    for (const auto &bucket : counts.buckets)
        sum += bucket;
    WindowBurn burn{counts.window, sum.total, sum.total - sum.good, 1, 0};
    if (sum.total == 0)
        return burn;
    burn.goodShare = static_cast<double>(sum.good) / static_cast<double>(sum.total);
    burn.burnRate = (1 - burn.goodShare) / (1 - objectiveShare);
    return burn;
}

double rateOf(const ClassBurn &burn, BurnWindow window)
{
    const auto found = std::ranges::find(burn.windows, window, &WindowBurn::window);
    return found == burn.windows.end() ? 0 : found->burnRate;
}

std::string stateOf(const ClassBurn &burn)
{
    const auto hour = rateOf(burn, BurnWindow::OneHour);
    if (std::min(rateOf(burn, BurnWindow::FiveMinutes), hour) > fastBurnRate)
        return "burning fast";
    return std::min(hour, rateOf(burn, BurnWindow::SixHours)) > slowBurnRate ? "burning" : "ok";
}

[[gnu::format(printf, 1, 2)]] std::string format(const char *pattern, ...)
{
    std::array<char, 256> buffer{};
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(buffer.data(), buffer.size(), pattern, arguments);
    va_end(arguments);
    return buffer.data();
}

} // namespace

BurnReport makeBurnReport(const BurnCounts &counts)
{
    BurnReport report{counts.nodes, {}};
    for (const auto &entry : counts.classes) {
        ClassBurn burn{entry.serviceClass, entry.objectiveShare, entry.objectiveLatency, 1, {}, {}};
        for (const auto &window : entry.windows)
            burn.windows.push_back(burnOf(window, entry.objectiveShare));
        burn.budgetLeft = 1 - rateOf(burn, BurnWindow::ThreeDays);
        burn.state = stateOf(burn);
        report.classes.push_back(std::move(burn));
    }
    return report;
}

std::string toText(const BurnReport &report)
{
    std::string text = format("Service-level burn over %lu node(s)\n\n", static_cast<unsigned long>(report.nodes));
    text += format("%-9s %-6s %10s %8s %9s %7s\n", "CLASS", "WINDOW", "REQUESTS", "BAD", "GOOD", "BURN");
    for (const auto &burn : report.classes) {
        for (const auto &window : burn.windows) {
            text += format("%-9s %-6s %10lu %8lu %8.3f%% %7.2f\n", std::string(nameOf(burn.serviceClass)).c_str(),
                           std::string(nameOf(window.window)).c_str(), static_cast<unsigned long>(window.total),
                           static_cast<unsigned long>(window.bad), 100 * window.goodShare, window.burnRate);
        }
        text += format("%-9s %s: objective %.3f%% within %s, budget left %.1f%%\n\n",
                       std::string(nameOf(burn.serviceClass)).c_str(), burn.state.c_str(), 100 * burn.objectiveShare,
                       toString(burn.objectiveLatency).c_str(), 100 * burn.budgetLeft);
    }
    return text;
}

namespace
{

constexpr double plotWidth = 420;
constexpr double plotHeight = 120;
constexpr double plotMargin = 34;

double bucketRate(const RequestCounts &counts, double objectiveShare)
{
    if (counts.total == 0)
        return 0;
    const auto bad = static_cast<double>(counts.total - counts.good) / static_cast<double>(counts.total);
    return bad / (1 - objectiveShare);
}

/// Returns an SVG plot with a bar for each bucket's burn rate and a line at rate 1, which spends the budget exactly.
std::string plot(const WindowCounts &counts, double objectiveShare)
{
    double top = 2;
    for (const auto &bucket : counts.buckets)
        top = std::max(top, bucketRate(bucket, objectiveShare));
    const auto width = plotWidth / static_cast<double>(std::max<std::size_t>(counts.buckets.size(), 1));
    const auto yOf = [top](double rate) { return plotMargin / 2 + plotHeight * (1 - rate / top); };
    std::string svg
        = format("<svg width=\"%.0f\" height=\"%.0f\" role=\"img\" aria-label=\"burn rate over %s\">",
                 plotWidth + 2 * plotMargin, plotHeight + 2 * plotMargin, std::string(nameOf(counts.window)).c_str());
    for (std::size_t i = 0; i < counts.buckets.size(); ++i) {
        const auto rate = bucketRate(counts.buckets[i], objectiveShare);
        svg += format("<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>",
                      rate > 1 ? "over" : "under", plotMargin + width * static_cast<double>(i), yOf(rate),
                      std::max(width - 1, 0.5), yOf(0) - yOf(rate));
    }
    const auto right = plotMargin + plotWidth;
    svg += format("<line class=\"budget\" x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\"/>", plotMargin, right, yOf(1),
                  yOf(1));
    svg += format("<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\"/>", plotMargin, right, yOf(0), yOf(0));
    svg += format("<text x=\"4\" y=\"%.1f\">%.1f</text><text x=\"4\" y=\"%.1f\">1</text>", yOf(top) + 4, top,
                  yOf(1) + 4);
    svg += format("<text x=\"%.1f\" y=\"%.1f\">-%s</text><text x=\"%.1f\" y=\"%.1f\">now</text></svg>", plotMargin,
                  yOf(0) + 16, std::string(nameOf(counts.window)).c_str(), right - 24, yOf(0) + 16);
    return svg;
}

constexpr const char *pageHead
    = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title><style>"
      "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}"
      "svg{margin-right:1em}text{font-size:11px;fill:#555}line{stroke:#999}line.budget{stroke:#c00;stroke-dasharray:4}"
      "rect.over{fill:#d9534f}rect.under{fill:#5b9bd5}</style></head><body>\n<h1>Service-level burn</h1>\n";

std::string classSection(const ClassBurn &burn, const ClassCounts &counts)
{
    std::string html
        = format("<h2>%s: %s</h2>\n<p>Objective: %.3f%% within %s. Budget left over 3 days: %.1f%%.</p>\n",
                 std::string(nameOf(burn.serviceClass)).c_str(), burn.state.c_str(), 100 * burn.objectiveShare,
                 toString(burn.objectiveLatency).c_str(), 100 * burn.budgetLeft);
    html += "<table><tr><th>window</th><th>requests</th><th>bad</th><th>good</th><th>burn rate</th></tr>\n";
    for (const auto &window : burn.windows) {
        html += format("<tr><td>%s</td><td>%lu</td><td>%lu</td><td>%.3f%%</td><td>%.2f</td></tr>\n",
                       std::string(nameOf(window.window)).c_str(), static_cast<unsigned long>(window.total),
                       static_cast<unsigned long>(window.bad), 100 * window.goodShare, window.burnRate);
    }
    html += "</table>\n<p>";
    for (const auto &window : counts.windows)
        html += plot(window, counts.objectiveShare) + '\n';
    return html + "</p>\n";
}

} // namespace

std::string toHtml(const BurnReport &report, const BurnCounts &counts)
{
    std::string html = pageHead;
    html += format("<p>Counted on %lu node(s). A burn rate of 1 (dashed) spends the error budget exactly.</p>\n",
                   static_cast<unsigned long>(report.nodes));
    for (std::size_t i = 0; i < std::min(report.classes.size(), counts.classes.size()); ++i)
        html += classSection(report.classes[i], counts.classes[i]);
    return html + "</body></html>\n";
}

} // namespace Gypsumtally
