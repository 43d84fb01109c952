// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibPlatform/Platform.h>
#include <LibTransport/HttpClient.h>

namespace Platform {

/// Accesses the platform over its HTTP interface: `/log` and `/instances`.
class HttpPlatform final : public Platform {
public:
    HttpPlatform(Core::EventLoop&, std::string address, uint16_t port);

    void read_log(int64_t from, LogCallback) override;
    void append(std::string body, AppendCallback) override;
    void read_list(int64_t known, ListCallback) override;

private:
    Transport::HttpCallRequest request(std::string method, std::string path) const;

    Transport::HttpClient m_client;
    std::string m_address;
    uint16_t m_port;
};

}
