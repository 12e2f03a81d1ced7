#pragma once

#include "gateway/dialect.h"

#include <cstdlib>
#include <string>
#include <variant>

namespace Gypsumtally::Testing
{

/// A minimal dialect for tests: the path is the route and header names have no prefix.
struct PlainDialect {
    static std::variant<Gateway::CallerRequest, Gateway::BadRequest> readRequest(const Http::Request &request)
    {
        Gateway::CallerRequest decoded;
        decoded.id = std::string(request.headers.get("Id"));
        decoded.host = "h";
        decoded.path = request.target;
        decoded.timeout = std::chrono::seconds{5};
        decoded.target = std::string(request.headers.get("Target"));
        decoded.promptTokens = decoded.target.empty() ? 0 : 500;
        decoded.key = std::string(request.headers.get("Key"));
        return decoded;
    }

    static Http::Request writeRequest(const Http::Request &request, const Gateway::SendInstructions &instructions)
    {
        Http::Request sent{request.method,
                           request.target,
                           {{"Host", "h"}, {"Id", std::string(request.headers.get("Id"))}},
                           request.body};
        if (instructions.resumeAfter)
            sent.headers.add("Resume", std::to_string(*instructions.resumeAfter));
        if (instructions.version)
            sent.headers.add("Version", std::to_string(*instructions.version));
        if (instructions.identity.isChecked)
            sent.headers.add("Organisation", instructions.identity.organisation);
        if (instructions.priority)
            sent.headers.add("Priority", std::to_string(*instructions.priority));
        return sent;
    }

    static Http::Request writeLivenessCheck(const std::string &instance)
    {
        return {"GET", "/alive", {{"Host", "h"}, {"Instance", instance}}, {}};
    }

    static std::int64_t readStartTime(const std::string &text)
    {
        return std::atoll(text.c_str());
    }

    static Gateway::UpstreamReply readReply(const Relay::ResponseHead &head)
    {
        Gateway::UpstreamReply reply;
        reply.status = head.status;
        reply.requestId = std::string(head.headers.get("Id"));
        reply.isSigned = head.headers.contains("Proof");
        reply.notRun = head.headers.contains("Not-Run");
        reply.statement.isLeaving = head.headers.contains("Leaving");
        if (const auto away = head.headers.get("Away-Ms"); !away.empty())
            reply.statement.turnsAwayFor = std::chrono::milliseconds{std::stoi(std::string(away))};
        if (const auto limit = head.headers.get("Limit"); !limit.empty())
            reply.statement.requestLimit = std::stod(std::string(limit));
        if (const auto refusals = head.headers.get("Brittle"); !refusals.empty())
            reply.statement.refusalsPerSecond = static_cast<unsigned>(std::stoul(std::string(refusals)));
        reply.statement.isFull = reply.notRun && (head.status == 503 || head.status == 429);
        reply.headers = head.headers.contains("Proof") ? Http::Headers{{"Proof", "p"}} : Http::Headers{};
        return reply;
    }
};

} // namespace Gypsumtally::Testing
