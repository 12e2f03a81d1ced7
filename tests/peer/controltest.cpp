#include "peer/controlclient.h"
#include "peer/controlmessages.h"
#include "peer/controlserver.h"

#include "http/eventloop.h"
#include "support/table.h"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <thread>

using namespace Gypsumtally;
namespace json = boost::json;

namespace
{

const std::string peerKey = "peer-key-0123456789";
const std::string oldPeerKey = "old-peer-key-0123456789";
const std::string operatorKey = "operator-token-0123456789";

/// A control server on a thread of its own, with methods that reply at once, reply later or fail.
class RunningControl
{
public:
    RunningControl()
        : m_http(
            m_loop, {},
            [this](const Http::Request &request, const std::shared_ptr<Http::Responder> &responder) {
                m_control.serve(request, responder);
            },
            [](unsigned status, const std::string &reason) {
                return Http::Response{status, {}, reason};
            })
        , m_port(m_http.listen({"127.0.0.1", 0, false}))
    {
        m_control.setKeys(PeerKeys({peerKey, oldPeerKey}), PeerKeys({operatorKey}));
        m_control.addImmediate("echo", ControlRole::Operator, [](const json::value &params) { return params; });
        m_control.addImmediate(ControlMethod::configAnnounce, ControlRole::Peer, [](const json::value &params) {
            auto announcement = fromJson<VersionAnnouncement>(params);
            ++announcement.version;
            return toJson(announcement);
        });
        m_control.addImmediate("missing", ControlRole::Operator, [](const json::value &) {
            return ControlError{ControlErrorCode::NotFound, "no such thing"};
        });
        m_control.add("later", ControlRole::Operator, [this](const json::value &params, const auto &answer) {
            m_loop.runAfter(std::chrono::milliseconds{params.at("ms").as_int64()},
                            [params, answer] { answer(params); });
        });
        m_thread = std::thread([this] { m_loop.run(); });
    }

    ~RunningControl()
    {
        m_loop.stop();
        m_thread.join();
    }

    Http::Endpoint endpoint() const
    {
        return {"127.0.0.1", m_port, false};
    }

    std::string post(const std::string &body) const
    {
        return Http::fetch(endpoint(), {"POST", controlPath, {{"Authorization", bearerHeader(operatorKey)}}, body})
            .response->body;
    }

private:
    Http::EventLoop m_loop;
    ControlServer m_control;
    Http::Server m_http;
    std::uint16_t m_port;
    std::thread m_thread;
};

struct CallCase {
    const std::string &key;
    const char *method;
    const char *params;
    const char *result; ///< Expected result; null if an error is expected.
    ControlErrorCode code;
};

const std::string unknownKey = "some-other-key-0123456789";

const CallCase callCases[] = {
    {operatorKey,
     "echo",
     R"({"a":[1,-2.5,"x",null,true,{"b":18446744073709551615}]})",
     R"({"a":[1,-2.5,"x",null,true,{"b":18446744073709551615}]})",
     {}},
    {operatorKey, "later", R"({"ms":20})", R"({"ms":20})", {}},
    {operatorKey, "later", R"({"ms":"soon"})", nullptr, ControlErrorCode::InvalidParams},
    {operatorKey, "missing", "{}", nullptr, ControlErrorCode::NotFound},
    {operatorKey, "nothing", "{}", nullptr, ControlErrorCode::MethodNotFound},
    {operatorKey, "config.announce", R"({"node":"a","version":1})", nullptr, ControlErrorCode::Forbidden},
    {peerKey, "config.announce", R"({"node":"a","version":1})", R"({"node":"a","version":2})", {}},
    {oldPeerKey, "config.announce", R"({"node":"a","version":1,"later":0})", R"({"node":"a","version":2})", {}},
    {peerKey, "config.announce", R"({"node":7})", nullptr, ControlErrorCode::InvalidParams},
    {peerKey, "echo", "{}", nullptr, ControlErrorCode::Forbidden},
    {unknownKey, "echo", "{}", nullptr, ControlErrorCode::Forbidden},
};

struct BodyCase {
    const char *request;
    const char *response;
};

const std::string tooDeep(3000, '[');

const BodyCase bodyCases[] = {
    {tooDeep.c_str(), R"("code":-32700)"},
    {"{", R"("code":-32700)"},
    {R"({"jsonrpc":"2.0","id":1})", R"("code":-32600)"},
    {R"([{"jsonrpc":"2.0","id":7,"method":"later","params":{"ms":9}},{"jsonrpc":"2.0","id":8,"method":"missing"},)"
     R"({"jsonrpc":"2.0","id":9,"method":"later","params":{"ms":3}}])",
     R"([{"id":7,"jsonrpc":"2.0","result":{"ms":9}},{"error":{"code":-32042,"data":null,"message":"no such thing"},)"
     R"("id":8,"jsonrpc":"2.0"},{"id":9,"jsonrpc":"2.0","result":{"ms":3}}])"},
};

} // namespace

TABLE_TEST(Control, returnsResultOrError, callCases)
{
    const RunningControl server;
    const auto reply = callControl(server.endpoint(), row.key, row.method, json::parse(row.params));
    const auto *error = std::get_if<ControlError>(&reply);
    cr_assert_eq(error == nullptr, row.result != nullptr, "%s: %s", row.method, error ? error->message.c_str() : "");
    if (error)
        cr_assert_eq(error->code, row.code, "%s", error->message.c_str());
    else
        cr_assert_eq(std::get<json::value>(reply), json::parse(row.result));
}

TABLE_TEST(Control, respondsToRawBodies, bodyCases)
{
    const RunningControl server;
    const auto response = server.post(row.request);
    cr_assert_neq(response.find(row.response), std::string::npos, "%s", response.c_str());
}

Test(Control, distinguishesUnreachableFromLost)
{
    Http::EventLoop loop;
    auto silent = std::make_unique<Http::Server>(
        loop, Http::ServerLimits{},
        [](const Http::Request &, const std::shared_ptr<Http::Responder> &responder) { responder->abort(); },
        [](unsigned status, const std::string &) {
            return Http::Response{status, {}, {}};
        });
    const Http::Endpoint endpoint{"127.0.0.1", silent->listen({"127.0.0.1", 0, false}), false};
    Http::Client http(loop);
    ControlClient client(http, [] { return peerKey; });
    std::vector<ControlErrorCode> codes;
    const auto next = [&](const ControlReply &reply) { codes.push_back(std::get<ControlError>(reply).code); };
    client.call(endpoint, "any", json::object{}, [&](const ControlReply &reply) {
        next(reply);
        silent.reset();
        client.call(endpoint, "any", json::object{}, [&](const ControlReply &second) {
            next(second);
            loop.stop();
        });
    });
    loop.run();
    cr_assert_eq(codes, (std::vector{ControlErrorCode::Lost, ControlErrorCode::Unreachable}));
}

namespace
{

struct KeyFileCase {
    const char *content;
    const char *problem; ///< Part of the expected problem; empty if the file is valid.
};

const KeyFileCase keyFiles[] = {
    {"0123456789abcdef\n", ""},
    {"short\n", "at least 16 characters"},
    {"0123456789abcdef\nsecond line\n", "one line"},
    {"", "at least 16 characters"},
};

} // namespace

TABLE_TEST(PeerKeys, loadsFromFiles, keyFiles)
{
    const std::string file = std::tmpnam(nullptr);
    std::ofstream(file) << row.content;
    const auto keys = PeerKeys::load({file});
    std::remove(file.c_str());
    cr_assert_eq(keys.value.has_value(), std::string(row.problem).empty());
    cr_assert_neq(toString(keys.problems).find(row.problem), std::string::npos);
    if (keys)
        cr_assert(keys.value->accepts("0123456789abcdef") && !keys.value->accepts("0123456789abcdee"));
    cr_assert_not(PeerKeys::load({file}).value.has_value());
    cr_assert_not(PeerKeys().accepts(""));
}
