// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/HttpClient.h>

namespace Transport {

HttpCall::HttpCall(std::shared_ptr<HttpConnection> connection)
    : m_connection(std::move(connection))
{
}

HttpCall::~HttpCall()
{
    m_connection->close();
}

std::unique_ptr<HttpCall> HttpCall::start(Core::EventLoop& loop, HttpCallRequest const& request, Callbacks callbacks)
{
    auto connection = std::make_shared<HttpConnection>(loop);
    HttpConnection::Callbacks forwarded { .head = {}, .data = std::move(callbacks.data), .done = std::move(callbacks.done), .failed = std::move(callbacks.failed) };
    if (callbacks.head)
        forwarded.head = [on_head = std::move(callbacks.head)](MessageHead const& head) { on_head(head.status, head.headers); };
    connection->send(request, ConnectionUse::Once, std::move(forwarded));
    return std::unique_ptr<HttpCall>(new HttpCall(std::move(connection)));
}

struct HttpClient::Running {
    std::unique_ptr<HttpCall> call;
    HttpAnswer answer;
};

HttpClient::HttpClient(Core::EventLoop& loop)
    : m_loop(loop)
{
}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::call(HttpCallRequest const& request, Callback const& callback)
{
    auto const id = m_next++;
    auto running = std::make_shared<Running>();
    m_running[id] = running;
    auto ended = [this, id, callback](tl::expected<HttpAnswer, HttpFailure> result) {
        auto const keep = m_running.extract(id);
        if (!keep.empty())
            callback(std::move(result));
    };
    auto* raw = running.get();
    auto bounded = request;
    bounded.total_timeout = request.total_timeout.value_or(request.timeout * total_timeout_factor);
    running->call = HttpCall::start(m_loop, bounded,
        { .head = [raw](int status, HttpHeaders const& headers) {
             raw->answer.status = status;
             raw->answer.headers = headers; },
            .data = [raw](std::string_view data) { raw->answer.body += data; },
            .done = [raw, ended] { ended(std::move(raw->answer)); },
            .failed = [ended](HttpFailure failure) { ended(tl::unexpected(failure)); } });
    return id;
}

void HttpClient::cancel(uint64_t id)
{
    m_running.erase(id);
}

}
