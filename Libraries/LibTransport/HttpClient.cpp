// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/HttpClient.h>

#include <LibTransport/AnswerLimits.h>
#include <LibTransport/EvhttpAnswer.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Transport {

static evhttp_cmd_type command_of(std::string const& method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_GET;
}

/// Outlives its HttpCall until libevent has finished with it.
class HttpCall::State : public std::enable_shared_from_this<HttpCall::State> {
public:
    State(Core::EventLoop& loop, Callbacks callbacks)
        : m_loop(loop)
        , m_callbacks(std::move(callbacks))
    {
    }

    void begin(HttpCallRequest const&);
    void cancel();

private:
    /// Returns false if the call should end.
    bool on_head(evhttp_request*);
    void on_data(evhttp_request*);
    void on_end(evhttp_request*);
    void report_end(bool is_whole);
    void on_error(evhttp_request_error);
    void on_total_timeout();
    bool is_framed(evhttp_request*) const;
    void free_connection_soon();

    Core::EventLoop& m_loop;
    Callbacks m_callbacks;
    evhttp_connection* m_connection { nullptr };
    std::unique_ptr<Core::Timer> m_end_timer;
    // Where the call goes, for the log.
    std::string m_address;
    uint16_t m_port { 0 };
    std::string m_path;
    // Keeps the state alive while libevent may call it back.
    std::shared_ptr<State> m_self;
    bool m_has_head { false };
    bool m_has_failed { false };
    bool m_has_reached_server { false };
    bool m_is_head_request { false };
    int m_interim_answers { 0 };
    HttpFailure m_failure { HttpFailure::NotConnected };
};

void HttpCall::State::begin(HttpCallRequest const& call)
{
    m_self = shared_from_this();
    m_is_head_request = call.method == "HEAD";
    m_address = call.address;
    m_port = call.port;
    m_path = call.path;
    m_connection = evhttp_connection_base_new(m_loop.base(), nullptr, call.address.c_str(), call.port);
    auto const timeout = Core::to_timeval(call.timeout);
    evhttp_connection_set_timeout_tv(m_connection, &timeout);
    limit_answer(m_connection, call.max_head_bytes, call.max_body_bytes);
    // The timeout of the connection begins anew with each byte.
    if (call.total_timeout)
        m_end_timer = m_loop.after(*call.total_timeout, [this] { on_total_timeout(); });
    if (call.limit)
        call.limit->add(evhttp_connection_get_bufferevent(m_connection));

    auto* request = evhttp_request_new([](evhttp_request* request, void* self) { static_cast<State*>(self)->on_end(request); }, this);
    evhttp_request_set_header_cb(request, [](evhttp_request* request, void* self) {
        return static_cast<State*>(self)->on_head(request) ? 0 : -1;
    });
    evhttp_request_set_chunked_cb(request, [](evhttp_request* request, void* self) { static_cast<State*>(self)->on_data(request); });
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* self) { static_cast<State*>(self)->on_error(error); });

    auto* fields = evhttp_request_get_output_headers(request);
    evhttp_add_header(fields, "Host", (call.address + ":" + std::to_string(call.port)).c_str());
    evhttp_add_header(fields, "Connection", "close");
    for (auto const& [name, value] : call.headers)
        evhttp_add_header(fields, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    evhttp_make_request(m_connection, request, command_of(call.method), call.path.c_str());
}

void HttpCall::State::cancel()
{
    m_callbacks = {};
    m_end_timer.reset();
    free_connection_soon();
}

void HttpCall::State::free_connection_soon()
{
    if (!m_connection)
        return;
    // libevent may be in the middle of this connection's callback. Where the loop ends first, dropping the owner does it.
    auto owner = std::shared_ptr<evhttp_connection>(std::exchange(m_connection, nullptr), [self = shared_from_this()](auto* connection) {
        evhttp_connection_free(connection);
        self->m_self.reset();
    });
    m_loop.soon([owner = std::move(owner)] {});
}

bool HttpCall::State::on_head(evhttp_request* request)
{
    if (is_interim_answer(request)) {
        m_interim_answers += 1;
        return m_interim_answers <= max_interim_answers;
    }
    m_has_head = true;
    if (m_callbacks.head)
        m_callbacks.head(evhttp_request_get_response_code(request), headers_of(request));
    return true;
}

void HttpCall::State::on_data(evhttp_request* request)
{
    auto* buffer = evhttp_request_get_input_buffer(request);
    std::string data(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, data.data(), data.size());
    if (m_callbacks.data)
        m_callbacks.data(data);
}

void HttpCall::State::on_error(evhttp_request_error error)
{
    // The total timeout has ended the call.
    if (!m_connection)
        return;
    // libevent reports an error here only once the connection stood; a failed connect has none.
    m_has_failed = true;
    m_failure = failure_of(error);
}

void HttpCall::State::on_total_timeout()
{
    if (!m_connection)
        return;
    m_has_failed = true;
    m_failure = HttpFailure::TimedOut;
    free_connection_soon();
    m_loop.soon([self = shared_from_this()] { self->report_end(false); });
}

bool HttpCall::State::is_framed(evhttp_request* request) const
{
    auto const status = evhttp_request_get_response_code(request);
    return m_is_head_request || status == 204 || status == 304 || says_its_length(request);
}

void HttpCall::State::on_end(evhttp_request* request)
{
    bool const is_answered = !m_has_failed && request && evhttp_request_get_response_code(request) != 0;
    // An answer that ends with its connection may have been cut short: nobody can tell.
    bool const is_whole = is_answered && is_framed(request);
    if (is_answered || m_has_head)
        m_has_reached_server = true;
    free_connection_soon();
    // libevent may call this before start() has returned, so the owner hears of it in the loop's next turn.
    m_loop.soon([self = shared_from_this(), is_whole] { self->report_end(is_whole); });
}

void HttpCall::State::report_end(bool is_whole)
{
    m_end_timer.reset();
    if (m_failure == HttpFailure::TooLong)
        log_too_long(m_address, m_port, m_path);
    auto callbacks = std::exchange(m_callbacks, {});
    if (is_whole) {
        if (callbacks.done)
            callbacks.done();
        return;
    }
    if (!m_has_failed && m_has_reached_server)
        m_failure = HttpFailure::BrokenOff;
    if (callbacks.failed)
        callbacks.failed(m_failure);
}

HttpCall::HttpCall(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpCall::~HttpCall()
{
    m_state->cancel();
}

std::unique_ptr<HttpCall> HttpCall::start(Core::EventLoop& loop, HttpCallRequest const& request, Callbacks callbacks)
{
    auto state = std::make_shared<State>(loop, std::move(callbacks));
    state->begin(request);
    return std::unique_ptr<HttpCall>(new HttpCall(std::move(state)));
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
