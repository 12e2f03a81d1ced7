#include "processes/historycheck.h"

#include "fakes/fakeengine.h"
#include "support/table.h"

using namespace Gypsumtally;
using namespace Gypsumtally::Processes;

namespace
{

CallResult modelResult(const std::string &verdict, std::size_t tokens, const std::string &answeringModel,
                       bool isComplete)
{
    CallResult result;
    result.model = {"base/a@1", "p", 3, false};
    result.status = 200;
    result.verdict = verdict;
    result.isComplete = isComplete;
    result.text = Fakes::answerText(answeringModel, "p", tokens);
    return result;
}

CallResult bookingResult(const std::string &verdict, bool isComplete)
{
    CallResult result;
    result.booking = {"/shift", "k"};
    result.status = isComplete ? 200 : 503;
    result.verdict = verdict;
    result.isComplete = isComplete;
    return result;
}

CallResult expired()
{
    auto result = modelResult("not-run", 0, "base/a@1", false);
    result.status = 504;
    result.code = "deadline_exceeded";
    return result;
}

CallResult lost(std::size_t entry)
{
    CallResult result;
    result.model = {"base/a@1", "p", 3, false};
    result.entry = entry;
    return result;
}

const json::object started{{"event", "start"}, {"prompt", "p"}};
const json::object booked{{"event", "run"}, {"call", "/shift k"}};

struct HistoryCase {
    const char *name;
    History history;
    std::size_t violations;
};

const HistoryCase historyCases[] = {
    {"complete answer", {{modelResult("ran", 3, "base/a@1", true)}, {started}, {}}, 0},
    {"answer of another version", {{modelResult("ran", 3, "base/a@2", true)}, {started}, {}}, 2},
    {"missing token", {{modelResult("ran", 2, "base/a@1", true)}, {started}, {}}, 1},
    {"truncated without error", {{modelResult("ran", 2, "base/a@1", false)}, {started}, {}}, 1},
    {"answer without execution", {{modelResult("ran", 3, "base/a@1", true)}, {}, {}}, 1},
    {"not-run verdict after execution", {{modelResult("not-run", 3, "base/a@1", true)}, {started}, {}}, 1},
    {"missing verdict", {{modelResult("", 3, "base/a@1", true)}, {started}, {}}, 1},
    {"deadline exceeded", {{expired()}, {}, {}}, 1},
    {"eviction during request", {{}, {{{"event", "violation"}}}, {}}, 1},
    {"lost at killed node", {{lost(0)}, {started}, {}}, 0},
    {"lost at another node", {{lost(1)}, {started}, {}}, 1},
    {"single booking", {{bookingResult("ran", true)}, {}, {booked}}, 0},
    {"double booking", {{bookingResult("ran", true)}, {}, {booked, booked}}, 1},
    {"booking after not-run verdict", {{bookingResult("not-run", false)}, {}, {booked}}, 1},
    {"unknown outcome, then answered",
     {{bookingResult("may-have-run", false), bookingResult("ran", true)}, {}, {booked}},
     0},
    {"answer without booking", {{bookingResult("ran", true)}, {}, {}}, 1},
};

} // namespace

TABLE_TEST(HistoryCheck, findsViolations, historyCases)
{
    const auto found = violations(row.history, {0});
    cr_assert_eq(found.size(), row.violations, "%s: %s", row.name, found.empty() ? "" : found.front().c_str());
}
