#pragma once

// Stand-ins for the platform's store, its workers and its clients. One process holds all of them, on one thread, so
// that what they record has one order. They follow the users' pages and nothing else.

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/src.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using Fields = std::vector<std::pair<std::string, std::string>>;
using Request = http::request<http::string_body>;

constexpr int broken = 1; ///< Exit statuses of a case.
constexpr int held = 0;
constexpr int notRun = 2;

inline awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(use_awaitable);
}

/// Writes lines with the time since the start, in ms, to record.txt.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    {
    }

    std::int64_t now() const
    {
        return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count();
    }

    void line(const std::string &text)
    {
        m_file << now() << ' ' << text << '\n' << std::flush;
    }

    Clock::time_point at(std::int64_t ms) const
    {
        return m_start + milliseconds(ms);
    }

private:
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

inline awaitable<void> until(const Record &record, std::int64_t ms)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, record.at(ms));
    co_await timer.async_wait(use_awaitable);
}

/// A connection of a server.
struct Session {
    explicit Session(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    awaitable<void> write(std::string bytes)
    {
        co_await asio::async_write(socket, asio::buffer(bytes), use_awaitable);
    }

    awaitable<void> respond(unsigned status, Fields fields, std::string body)
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
        for (const auto &[name, value] : fields)
            text += name + ": " + value + "\r\n";
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await write(text);
    }

    awaitable<void> begin(Fields fields)
    {
        std::string text = "HTTP/1.1 200 OK\r\n";
        for (const auto &[name, value] : fields)
            text += name + ": " + value + "\r\n";
        co_await write(text + "Transfer-Encoding: chunked\r\n\r\n");
    }

    awaitable<void> chunk(std::string piece)
    {
        char size[20];
        std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
        co_await write(size + piece + "\r\n");
    }

    awaitable<void> end()
    {
        co_await write("0\r\n\r\n");
    }

    tcp::socket socket;
};

using SessionPtr = std::shared_ptr<Session>;

/// An HTTP/1.1 server whose handler is a coroutine.
class Server
{
public:
    using Handler = std::function<awaitable<void>(SessionPtr, Request)>;

    Server(asio::io_context &context, const std::string &address, Handler handler)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address(address), 0))
        , m_handler(std::move(handler))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::string address() const
    {
        const auto endpoint = m_acceptor.local_endpoint();
        return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
    }

    /// Ends all connections. New ones are still accepted.
    void closeAll()
    {
        for (const auto &each : m_sessions) {
            boost::system::error_code ignored;
            each->socket.close(ignored);
        }
    }

    /// Ends all connections and accepts no further ones.
    void stop()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        closeAll();
    }

    bool refuses = false; ///< New connections are closed at once.

private:
    awaitable<void> accept()
    {
        for (;;) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(use_awaitable, error));
            if (!m_acceptor.is_open())
                co_return;
            if (error || refuses)
                continue;
            socket.set_option(tcp::no_delay(true), error);
            asio::co_spawn(m_acceptor.get_executor(), serve(std::make_shared<Session>(std::move(socket))),
                           asio::detached);
        }
    }

    awaitable<void> serve(SessionPtr session)
    {
        m_sessions.insert(session);
        try {
            beast::flat_buffer buffer;
            for (;;) {
                Request request;
                co_await http::async_read(session->socket, buffer, request, use_awaitable);
                co_await m_handler(session, std::move(request));
            }
        } catch (const std::exception &) { // The peer or this server has ended the connection.
        }
        m_sessions.erase(session);
    }

    tcp::acceptor m_acceptor;
    Handler m_handler;
    std::set<SessionPtr> m_sessions;
};

inline std::string base64(const std::string &bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

inline std::string queryOf(const std::string &target, const std::string &name)
{
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        if (pair.starts_with(name + '='))
            return pair.substr(name.size() + 1);
        rest.erase(0, std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

/// The platform's store. It can be away for a moment and come back from an older copy.
class Store
{
public:
    struct Item {
        std::string value; ///< In base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct Lease {
        milliseconds ttl{};
        Clock::time_point end;
    };

    /// What a copy of the store holds.
    struct Copy {
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 1;
        std::int64_t lastLease = 0;
    };

    Store(asio::io_context &context, const std::string &address)
        : server(context, address,
                 [this](SessionPtr session, Request request) { return serve(std::move(session), std::move(request)); })
    {
        asio::co_spawn(context, expire(), asio::detached);
    }

    /// Writes as the operator or a worker does. Does nothing while the store is away.
    bool put(const std::string &key, const std::string &value)
    {
        if (m_isAway)
            return false;
        ++m_state.revision;
        write(key, base64(value), 0);
        return true;
    }

    bool remove(const std::string &key)
    {
        if (m_isAway)
            return false;
        ++m_state.revision;
        erase(key);
        return true;
    }

    const Copy &state() const
    {
        return m_state;
    }

    void goAway()
    {
        m_isAway = true;
        server.refuses = true;
        server.closeAll();
    }

    /// Comes back from @p copy. The era in all answers rises by one.
    void comeBack(const Copy &copy)
    {
        m_state = copy;
        for (auto &[id, lease] : m_state.leases)
            lease.end = Clock::now() + lease.ttl;
        m_events.clear();
        m_oldestKnown = m_state.revision;
        ++m_era;
        m_isAway = false;
        server.refuses = false;
    }

    /// The store as one machine reaches it.
    struct Path {
        std::unique_ptr<Server> server;
        bool isCut = false; ///< Calls get no response, also not later.
        unsigned unansweredReads = 0; ///< Of the workers' entries, while it was cut.
    };

    /// Adds a path to this store at @p address.
    Path &addPath(asio::io_context &context, const std::string &address)
    {
        auto &path = *m_paths.emplace_back(std::make_unique<Path>());
        path.server = std::make_unique<Server>(context, address, [this, &path](SessionPtr session, Request request) {
            return serveOn(path, std::move(session), std::move(request));
        });
        return path;
    }

    Server server;

private:
    /// Serves a call on @p path. A path that is cut takes calls and answers that were on their way with it.
    awaitable<void> serveOn(Path &path, SessionPtr session, Request request)
    {
        const bool isRead = request.target().starts_with("/kv-range?prefix=servers/");
        if (path.isCut && isRead)
            ++path.unansweredReads;
        if (!path.isCut && request.target().starts_with("/kv-watch"))
            co_return co_await watchOn(path, session, std::move(request));
        if (path.isCut)
            co_return co_await pause(milliseconds(60000));
        co_await serve(session, std::move(request));
    }

    /// Serves a watch, which gets no response if the path is cut before its end.
    awaitable<void> watchOn(Path &path, SessionPtr session, Request request)
    {
        const std::string target(request.target());
        const auto prefix = queryOf(target, "prefix");
        const auto after = std::atoll(queryOf(target, "after").c_str());
        const auto end = Clock::now() + milliseconds(std::atoll(queryOf(target, "wait_ms").c_str()));
        const auto hasEvent = [&] {
            return std::ranges::any_of(
                m_events, [&](const Event &event) { return event.revision > after && event.key.starts_with(prefix); });
        };
        while (!path.isCut && !hasEvent() && Clock::now() < end)
            co_await pause(milliseconds(5));
        if (path.isCut)
            co_return co_await pause(milliseconds(60000));
        co_await watch(session, prefix, after, milliseconds(0));
    }

    struct Event {
        std::int64_t revision = 0;
        std::string key;
        json::object row;
    };

    void write(const std::string &key, const std::string &value, std::int64_t lease)
    {
        auto &item = m_state.items[key];
        item = {value, m_state.revision, item.created == 0 ? m_state.revision : item.created, lease};
        m_events.push_back({item.revision, key, rowOf(key, item)});
    }

    void erase(const std::string &key)
    {
        if (m_state.items.erase(key) > 0)
            m_events.push_back(
                {m_state.revision, key, {{"key", key}, {"revision", m_state.revision}, {"tombstone", true}}});
    }

    static json::object rowOf(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"created_rev", item.created},
                {"lease", item.lease}};
    }

    awaitable<void> expire()
    {
        for (;;) {
            co_await pause(milliseconds(20));
            if (m_isAway)
                continue;
            std::vector<std::int64_t> ended;
            for (const auto &[id, lease] : m_state.leases) {
                if (Clock::now() >= lease.end)
                    ended.push_back(id);
            }
            for (const auto id : ended)
                endLease(id);
        }
    }

    void endLease(std::int64_t id)
    {
        m_state.leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_state.items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        if (keys.empty())
            return;
        ++m_state.revision;
        for (const auto &key : keys)
            erase(key);
    }

    awaitable<void> answer(SessionPtr session, unsigned status, json::object body = {})
    {
        Fields fields;
        fields.emplace_back("Content-Type", "application/json");
        fields.emplace_back("Store-Era", std::to_string(m_era));
        co_await session->respond(status, fields, json::serialize(body));
    }

    awaitable<void> serve(SessionPtr session, Request request)
    {
        co_await pause(milliseconds(4));
        if (m_isAway)
            throw std::runtime_error("the store is away");
        const std::string target(request.target());
        const auto path = target.substr(0, target.find('?'));
        if (path == "/kv-range")
            co_await range(session, queryOf(target, "prefix"));
        else if (path == "/kv-key")
            co_await one(session, queryOf(target, "key"));
        else if (path == "/kv-watch")
            co_await watch(session, queryOf(target, "prefix"), std::atoll(queryOf(target, "after").c_str()),
                           milliseconds(std::atoll(queryOf(target, "wait_ms").c_str())));
        else if (path == "/kv-txn")
            co_await transact(session, json::parse(request.body()).as_object());
        else if (path == "/kv-lease")
            co_await grant(session, json::parse(request.body()).as_object().at("ttl_ms").to_number<std::int64_t>());
        else if (path.starts_with("/kv-keep/"))
            co_await keep(session, std::atoll(path.c_str() + 9));
        else if (path.starts_with("/kv-lease-end/"))
            co_await end(session, std::atoll(path.c_str() + 14));
        else
            co_await answer(session, 404);
    }

    awaitable<void> range(SessionPtr session, std::string prefix)
    {
        json::array items;
        for (const auto &[key, item] : m_state.items) {
            if (key.starts_with(prefix))
                items.push_back(rowOf(key, item));
        }
        json::object body;
        body["items"] = std::move(items);
        body["more_pages"] = false;
        body["as_of"] = m_state.revision;
        co_await answer(session, 200, body);
    }

    awaitable<void> one(SessionPtr session, std::string key)
    {
        const auto it = m_state.items.find(key);
        if (it == m_state.items.end())
            co_return co_await answer(session, 404);
        auto row = rowOf(key, it->second);
        row["as_of"] = m_state.revision;
        co_await answer(session, 200, row);
    }

    awaitable<void> watch(SessionPtr session, std::string prefix, std::int64_t after, milliseconds wait)
    {
        const auto end = Clock::now() + std::min(wait, milliseconds(30000));
        const auto era = m_era;
        for (;;) {
            if (m_isAway || era != m_era)
                throw std::runtime_error("the watch is cut");
            if (after < m_oldestKnown || after > m_state.revision)
                co_return co_await answer(session, 410);
            json::array events;
            for (const auto &event : m_events) {
                if (event.revision > after && event.key.starts_with(prefix))
                    events.push_back(event.row);
            }
            if (!events.empty() || Clock::now() >= end) {
                json::object body;
                body["events"] = std::move(events);
                body["as_of"] = m_state.revision;
                co_return co_await answer(session, 200, body);
            }
            co_await pause(milliseconds(5));
        }
    }

    awaitable<void> transact(SessionPtr session, json::object body)
    {
        bool holds = true;
        json::array current;
        for (const auto &each : body["expected"].as_array()) {
            const std::string key(each.at("key").as_string());
            const auto it = m_state.items.find(key);
            const auto revision = it == m_state.items.end() ? 0 : it->second.revision;
            holds = holds && revision == each.at("revision").to_number<std::int64_t>();
            current.push_back(it == m_state.items.end() ? json::object{{"key", key}, {"revision", 0}}
                                                        : rowOf(key, it->second));
        }
        json::object result;
        if (!holds) {
            result["items"] = std::move(current);
            co_return co_await answer(session, 412, result);
        }
        const auto leaseOf = [](const json::value &put) {
            const auto *lease = put.as_object().if_contains("lease");
            return lease ? lease->to_number<std::int64_t>() : 0;
        };
        for (const auto &put : body["puts"].as_array()) {
            if (leaseOf(put) != 0 && !m_state.leases.contains(leaseOf(put)))
                co_return co_await answer(session, 404);
        }
        ++m_state.revision;
        for (const auto &put : body["puts"].as_array())
            write(std::string(put.at("key").as_string()), std::string(put.at("value").as_string()), leaseOf(put));
        for (const auto &key : body["remove"].as_array())
            erase(std::string(key.as_string()));
        result["revision"] = m_state.revision;
        co_await answer(session, 200, result);
    }

    awaitable<void> grant(SessionPtr session, std::int64_t ttlMs)
    {
        const milliseconds ttl(std::clamp<std::int64_t>(ttlMs, 1000, 600000));
        const auto id = ++m_state.lastLease;
        m_state.leases[id] = {ttl, Clock::now() + ttl};
        json::object body;
        body["lease"] = id;
        body["ttl_ms"] = ttl.count();
        co_await answer(session, 200, body);
    }

    awaitable<void> keep(SessionPtr session, std::int64_t id)
    {
        const auto it = m_state.leases.find(id);
        if (it == m_state.leases.end())
            co_return co_await answer(session, 404);
        it->second.end = Clock::now() + it->second.ttl;
        json::object body;
        body["ttl_ms"] = it->second.ttl.count();
        co_await answer(session, 200, body);
    }

    awaitable<void> end(SessionPtr session, std::int64_t id)
    {
        const bool isKnown = m_state.leases.contains(id);
        endLease(id);
        co_await answer(session, isKnown ? 200 : 404);
    }

    std::vector<std::unique_ptr<Path>> m_paths;
    Copy m_state;
    std::deque<Event> m_events;
    std::int64_t m_oldestKnown = 0;
    std::int64_t m_era = 1;
    bool m_isAway = false;
};

/// The result of one client attempt.
struct Answer {
    unsigned status = 0; ///< 0 if there was no whole answer.
    std::string body;
    Fields fields;
};

/// Sends one request over a new connection and reads the whole answer, for at most @p timeout.
inline awaitable<Answer> ask(std::string address, std::string request, milliseconds timeout)
{
    Answer answer;
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    try {
        const auto colon = address.rfind(':');
        co_await stream.async_connect(tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
                                                    static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1))),
                                      use_awaitable);
        co_await asio::async_write(stream, asio::buffer(request), use_awaitable);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(stream, buffer, response, use_awaitable);
        answer.status = response.result_int();
        answer.body = response.body();
        for (const auto &field : response)
            answer.fields.emplace_back(field.name_string(), field.value());
    } catch (const std::exception &) {
    }
    co_return answer;
}

/// A gateway machine of a small deployment, on a loopback address of its own.
struct Machine {
    std::string node;
    std::string address;
    std::string zone;

    std::string callers() const
    {
        return address + ":8149";
    }

    std::string readiness() const
    {
        return address + ":8141";
    }
};

/// Returns the first three bytes of loopback addresses on which the ports of the machines are free.
inline std::string freeNetwork(asio::io_context &context, unsigned machines)
{
    std::mt19937 random(std::random_device{}());
    for (;;) {
        const auto network = "127." + std::to_string(16 + random() % 200) + '.' + std::to_string(random() % 250);
        bool isFree = true;
        for (unsigned i = 0; i < machines; ++i) {
            for (const std::uint16_t port : {8149, 8141, 8143, 7380, 9464}) {
                boost::system::error_code error;
                tcp::acceptor probe(context, tcp::v4());
                probe.bind({asio::ip::make_address(network + '.' + std::to_string(10 + i)), port}, error);
                isFree = isFree && !error;
            }
        }
        if (isFree)
            return network;
    }
}

/// Writes the settings of @p machine, as the template of the deploy file gives them for the site snrg-bitacoras.
inline void writeSettings(const std::string &folder, const Machine &machine, const std::string &store)
{
    std::ofstream file(folder + '/' + machine.node + ".part");
    file << "node: " << machine.node << "\nfailure_domain: " << machine.zone
         << "\nregion: " << machine.zone.substr(0, machine.zone.size() - 2)
         << "\nregions: {\"norte-a\":\"norte\",\"centro-a\":\"centro\",\"austral-a\":\"austral\"}\n"
         << "drain_bound: 2500ms\nlisten:\n  callers: " << machine.callers() << "\n  readiness: " << machine.readiness()
         << "\n  entries: " << machine.address << ":8143\n  peers: " << machine.address
         << ":7380\n  metrics: " << machine.address << ":9464\nstore: " << store
         << "\nmachine:\n  cpu_share: 0.25\n  link_mbps: 1000.0\n  memory_mb: 260\n  max_descriptors: 4200\n"
         << "order_handover: 3000ms\nstop_grace: 8s\nentry_ttl: 1s\n"
         << "retries:\n  ratio: 0.2\n  slack: 52\n  window: 10s\nlog:\n  level: info\n  format: json\n";
    file.close();
    std::filesystem::rename(folder + '/' + machine.node + ".part", folder + '/' + machine.node + ".yaml");
}

inline std::vector<Machine> machinesIn(const std::string &network)
{
    return {{"front-norte-a-1", network + ".10", "norte-a"},
            {"front-centro-a-1", network + ".11", "centro-a"},
            {"front-austral-a-1", network + ".12", "austral-a"}};
}

/// Returns true once all machines answer that they are ready.
inline awaitable<bool> areReady(std::vector<Machine> machines, milliseconds timeout)
{
    const auto end = Clock::now() + timeout;
    while (Clock::now() < end) {
        bool all = true;
        for (const auto &machine : machines) {
            const auto answer
                = co_await ask(machine.readiness(), "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n", milliseconds(1000));
            all = all && answer.status == 200;
        }
        if (all)
            co_return true;
        co_await pause(milliseconds(100));
    }
    co_return false;
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace Standin
