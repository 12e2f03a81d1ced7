#include "cli/lossreport.h"

#include "support/table.h"

#include <sstream>

using namespace Gypsumtally;

namespace
{

struct LineCase {
    const char *line;
    std::vector<LossRow> rows;
};

const LineCase lines[] = {
    {R"({"time_ms":5100,"event":"answered","request":"a","route":"r","late":"yes","first_event_ms":"900","objective_ms":"600","waited_load_ms":"300","waited_pace_ms":"450"})",
     {{4000, "r", LossKind::Late, "pace", 1}}},
    {R"({"time_ms":5100,"event":"answered","request":"a","route":"r","late":"yes","first_event_ms":"900","objective_ms":"600","waited_pace_ms":"100"})",
     {{4000, "r", LossKind::Late, "engine", 1}}},
    {R"({"time_ms":5100,"event":"answered","request":"a","route":"r","late":"yes","first_event_ms":"500","objective_ms":"600","waited_pace_ms":"400"})",
     {{4000, "r", LossKind::Late, "pause", 1}}},
    {R"({"time_ms":5100,"event":"answered","request":"a","route":"r","late":"no","first_event_ms":"500","objective_ms":"600"})",
     {}},
    {R"({"time_ms":7999,"event":"request_refused","request":"a","route":"r","reason":"full","left_out_before":"7"})",
     {{6000, "", LossKind::Refused, "not logged", 7}, {6000, "r", LossKind::Refused, "full", 1}}},
    {R"({"time_ms":8000,"event":"answer_broken_off","request":"a","reason":"reset"})",
     {{8000, "", LossKind::Failed, "reset", 1}}},
    {R"({"time_ms":8000,"event":"upstream_gone","upstream":"e"})", {}},
    {R"({"time_ms":8000,"event":"request_refused","request":"a","route":"r","relayed_from":"n1","reason":"full"})", {}},
    {"no log line", {}},
};

} // namespace

TABLE_TEST(LossReport, lossesByCause, lines)
{
    LossReport report(2000);
    std::istringstream log(row.line);
    report.read(log);
    cr_assert(report.rows() == row.rows);
}

Test(LossReport, logsOfSeveralNodes)
{
    LossReport report(2000);
    const std::string line = R"({"time_ms":5100,"event":"request_refused","request":"a","route":"r","reason":"full"})";
    std::istringstream first(line + '\n' + line);
    std::istringstream second(line);
    report.read(first);
    report.read(second);
    cr_assert_eq(report.rows().size(), 1U);
    cr_assert_eq(report.rows().front().requests, 3U);
}
