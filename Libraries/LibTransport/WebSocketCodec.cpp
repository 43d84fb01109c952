// SPDX-License-Identifier: BSD-2-Clause
#define _WEBSOCKETPP_CPP11_STL_
#include <LibTransport/WebSocketCodec.h>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace Transport {

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

class WebSocketCodec::Implementation {
public:
    virtual ~Implementation() = default;
    virtual void start() = 0;
    virtual void receive(std::string_view) = 0;
    virtual bool send(std::string_view) = 0;
};

namespace {

    template<typename Endpoint>
    class Connection : public WebSocketCodec::Implementation {
    public:
        Connection(size_t max_message_bytes, WebSocketCodec::Callbacks callbacks)
            : m_callbacks(std::move(callbacks))
        {
            m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
            m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
            m_endpoint.set_max_message_size(max_message_bytes);
            create_connection();
            m_connection->set_write_handler([this](auto, char const* bytes, size_t size) {
                m_callbacks.output(std::string_view(bytes, size));
                return std::error_code();
            });
            m_connection->set_open_handler([this](auto) { m_callbacks.opened(); });
            m_connection->set_message_handler([this](auto, auto message) { m_callbacks.message(message->get_payload()); });
            m_connection->set_close_handler([this](auto) { m_callbacks.closed(); });
            m_connection->set_fail_handler([this](auto) { m_callbacks.closed(); });
        }

        ~Connection() override
        {
            // The owner is gone: nothing may be called back any more.
            m_connection->set_write_handler([](auto, char const*, size_t) { return std::error_code(); });
            m_connection->set_close_handler([](auto) {});
            m_connection->set_fail_handler([](auto) {});
            m_connection->eof();
        }

        void start() override;

        void receive(std::string_view bytes) override
        {
            m_connection->read_all(bytes.data(), bytes.size());
        }

        bool send(std::string_view payload) override
        {
            auto error = m_connection->send(payload.data(), payload.size(), websocketpp::frame::opcode::binary);
            return !error;
        }

    private:
        void create_connection();

        WebSocketCodec::Callbacks m_callbacks;
        Endpoint m_endpoint;
        typename Endpoint::connection_ptr m_connection;
    };

    template<>
    void Connection<ServerEndpoint>::create_connection()
    {
        m_connection = m_endpoint.get_connection();
    }

    template<>
    void Connection<ClientEndpoint>::create_connection()
    {
        std::error_code error;
        m_connection = m_endpoint.get_connection("ws://instance/link", error);
    }

    template<>
    void Connection<ServerEndpoint>::start()
    {
        m_connection->start();
    }

    template<>
    void Connection<ClientEndpoint>::start()
    {
        m_endpoint.connect(m_connection);
    }

}

WebSocketCodec::WebSocketCodec(Side side, size_t max_message_bytes, Callbacks callbacks)
{
    if (side == Side::Server)
        m_implementation = std::make_unique<Connection<ServerEndpoint>>(max_message_bytes, std::move(callbacks));
    else
        m_implementation = std::make_unique<Connection<ClientEndpoint>>(max_message_bytes, std::move(callbacks));
}

WebSocketCodec::~WebSocketCodec() = default;

void WebSocketCodec::start()
{
    m_implementation->start();
}

void WebSocketCodec::receive(std::string_view bytes)
{
    m_implementation->receive(bytes);
}

bool WebSocketCodec::send(std::string_view payload)
{
    return m_implementation->send(payload);
}

}
