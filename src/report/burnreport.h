#pragma once

#include "report/burncounter.h"

#include <string>
#include <vector>

namespace Gypsumtally
{

/// The burn of one class's error budget over one window.
struct WindowBurn {
    BurnWindow window = BurnWindow::FiveMinutes;
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
    double goodShare = 1; ///< Share of good requests, from 0 to 1; 1 without requests.
    double burnRate = 0; ///< A rate of 1 spends the error budget exactly; 2 spends it twice as fast.
};
BOOST_DESCRIBE_STRUCT(WindowBurn, (), (window, total, bad, goodShare, burnRate))

/// The burn of one class's error budget over all windows.
struct ClassBurn {
    ServiceClass serviceClass = ServiceClass::Standard;
    double objectiveShare = 0;
    Duration objectiveLatency{};
    double budgetLeft = 1; ///< Unspent share of the longest window's error budget; negative if overspent.
    std::string state; ///< `ok`, `burning` (two windows above slowBurnRate) or `burning fast` (above fastBurnRate).
    std::vector<WindowBurn> windows;
};
BOOST_DESCRIBE_STRUCT(ClassBurn, (), (serviceClass, objectiveShare, objectiveLatency, budgetLeft, state, windows))

/// The burn of the error budgets of all classes.
struct BurnReport {
    std::uint64_t nodes = 0; ///< Number of nodes whose counts are included.
    std::vector<ClassBurn> classes;
};
BOOST_DESCRIBE_STRUCT(BurnReport, (), (nodes, classes))

/// Burn rate above which both the 5 m and the 1 h window must be for the state `burning fast`.
inline constexpr double fastBurnRate = 14.4;
/// Burn rate above which both the 1 h and the 6 h window must be for the state `burning`.
inline constexpr double slowBurnRate = 6;

/// Computes the report from the counts. Thread-safe.
BurnReport makeBurnReport(const BurnCounts &counts);

/// Returns the report as a text table. Thread-safe.
std::string toText(const BurnReport &report);

/// Returns a self-contained HTML page with an SVG plot of the burn rate for each window of each class. Thread-safe.
std::string toHtml(const BurnReport &report, const BurnCounts &counts);

} // namespace Gypsumtally
