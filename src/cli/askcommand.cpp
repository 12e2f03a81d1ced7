#include "cli/commands.h"
#include "http/client.h"
#include "http/eventloop.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <ostream>

namespace Gypsumtally::Commands
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view dataPrefix = "data: ";
constexpr unsigned statusOk = 200;

/// Parses server-sent events as they arrive and prints the text of each token.
class AnswerReader
{
public:
    explicit AnswerReader(const CommandContext &context)
        : m_context(context)
    {
    }

    void onHead(unsigned status, const Http::Headers &headers)
    {
        m_status = status;
        m_verdict = std::string(headers.get("Gypsumtally-Verdict"));
    }

    void onBody(std::string_view piece)
    {
        m_buffer += piece;
        if (m_status != statusOk)
            return;
        for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n')) {
            onLine(std::string_view(m_buffer).substr(0, end));
            m_buffer.erase(0, end + 1);
        }
    }

    /// Returns the reason why the answer is incomplete, or an empty string.
    std::string problem() const
    {
        if (!m_problem.empty())
            return m_problem;
        if (m_status != statusOk)
            return "HTTP status " + std::to_string(m_status) + ": " + m_buffer + " (verdict " + m_verdict + ")";
        return m_isComplete ? "" : "the answer ended early (verdict may-have-run)";
    }

private:
    void onLine(std::string_view line)
    {
        if (!line.starts_with(dataPrefix))
            return;
        line.remove_prefix(dataPrefix.size());
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line == "[DONE]") {
            m_isComplete = true;
            return;
        }
        if (m_context.isJson())
            m_context.out() << line << '\n';
        boost::system::error_code error;
        const auto event = json::parse(line, error);
        if (error || !event.is_object())
            return;
        if (event.as_object().contains("error"))
            m_problem = json::serialize(event.at("error"));
        else if (const auto *text = event.find_pointer("/choices/0/text", error); text != nullptr && text->is_string())
            print(text->get_string());
    }

    void print(std::string_view text) const
    {
        if (!m_context.isJson())
            m_context.out() << text << std::flush;
    }

    const CommandContext &m_context;
    unsigned m_status = 0;
    std::string m_verdict;
    std::string m_buffer;
    std::string m_problem;
    bool m_isComplete = false;
};

Http::Request makeRequest(const CommandOptions &options, const Arguments &arguments)
{
    Http::Request request{"POST", "/v1/completions", {{"Content-Type", "application/json"}}, {}};
    if (!options.serviceClass.empty())
        request.headers.add("Gypsumtally-Class", options.serviceClass);
    if (!options.customer.empty())
        request.headers.add("Gypsumtally-Customer", options.customer);
    request.body = json::serialize(json::object{{"model", arguments[0]}, {"prompt", arguments[1]}, {"stream", true}});
    return request;
}

} // namespace

Result<ExitCode> ask(const CommandContext &context, const Arguments &arguments)
{
    BOOST_LEAF_AUTO(endpoint, context.server());
    Http::EventLoop loop;
    Http::Client client(loop);
    AnswerReader reader(context);
    std::optional<Http::TransportFailure> failure;
    Http::ResponseObserver observer;
    observer.onHead = [&](unsigned status, const Http::Headers &headers) { reader.onHead(status, headers); };
    observer.onBody = [&](std::string_view piece) { reader.onBody(piece); };
    observer.onEnd = [&] { loop.stop(); };
    observer.onFailure = [&](const Http::TransportFailure &reason) {
        failure = reason;
        loop.stop();
    };
    client.send(endpoint, makeRequest(context.options(), arguments), observer,
                {std::chrono::seconds{2}, context.options().timeout, true});
    loop.run();
    if (!context.isJson())
        context.out() << '\n';
    if (failure && !failure->sent)
        return leaf::new_error(CommandError{ExitCode::Unavailable, context.options().server + ": " + failure->reason});
    const auto problem = failure ? failure->reason + " (verdict may-have-run)" : reader.problem();
    if (!problem.empty())
        return leaf::new_error(CommandError{ExitCode::Failed, problem});
    return ExitCode::Success;
}

} // namespace Gypsumtally::Commands
