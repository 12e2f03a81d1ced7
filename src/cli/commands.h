#pragma once

#include "cli/command.h"

namespace Gypsumtally::Commands
{

Result<ExitCode> configCheck(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> configPlan(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> configApply(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> configShow(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> configHistory(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> status(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> explain(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> explainRequest(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> drain(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> quarantineList(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> quarantineClear(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> reportBurn(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> reportLoss(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> ask(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> completion(const CommandContext &context, const Arguments &arguments);
Result<ExitCode> help(const CommandContext &context, const Arguments &arguments);

} // namespace Gypsumtally::Commands
