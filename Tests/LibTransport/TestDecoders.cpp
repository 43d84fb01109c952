// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Hash.h>
#include <LibSchema/Json.h>
#include <LibTransport/Handshake.h>
#include <LibTransport/MessageCodec.h>
#include <LibTransport/WebSocketCodec.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Transport;

static std::string s_unknown;

TEST(MessageCodec, AMessageComesBackAsItWent)
{
    Schema::Message message;
    message.dispatch.emplace();
    message.dispatch->attempt = "a";
    message.dispatch->body = std::string("\0\xff binary", 9);
    message.dispatch->deadline_ms = 7;
    message.dispatch->repeatability = Schema::Repeatability::Once;
    auto const decoded = decode_message(encode_message(message), s_unknown);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->dispatch->body, message.dispatch->body);
    EXPECT_EQ(decoded->dispatch->repeatability, Schema::Repeatability::Once);
    EXPECT_FALSE(decoded->part.has_value());
}

RC_GTEST_PROP(MessageCodec, NoBytesCrashTheDecoder, (std::string const& bytes))
{
    auto const decoded = decode_message(bytes, s_unknown);
    RC_ASSERT(!decoded.has_value() || bytes.size() > 2);
}

// The library's reader is recursive over these: the message of a peer whose key is not proved yet overflowed the stack.
TEST(MessageCodec, ADeeplyNestedMessageIsRefused)
{
    // An array of one element, a map of one member, a tag, and a string and bytes in parts, each within the one before.
    for (std::string const& head : { std::string("\x81"), std::string("\xA1\x61k"), std::string("\xC1"), std::string("\x7F"), std::string("\x5F"), std::string("\x9F"), std::string("\xBF\x61k") }) {
        std::string bytes;
        for (int i = 0; i < 1000000; ++i)
            bytes += head;
        EXPECT_EQ(decode_message(bytes + '\x01', s_unknown).error().code, Core::ErrorCode::MalformedMessage);
    }
}

TEST(MessageCodec, ALengthPastAllMemoryIsRefusedAndNotThrown)
{
    // An array, then a map, of 0x6161616161616161 elements.
    for (std::string_view const bytes : { "\x9B"
                                          "aaaaaaaa",
             "\xBB"
             "aaaaaaaa" }) {
        auto const decoded = decode_message(bytes, s_unknown);
        ASSERT_FALSE(decoded.has_value());
        EXPECT_EQ(decoded.error().code, Core::ErrorCode::MalformedMessage);
    }
}

RC_GTEST_PROP(MessageCodec, NoChangedByteOfARealMessageCrashesTheDecoder, (uint64_t seed))
{
    Schema::Message message;
    message.part.emplace();
    message.part->attempt = "attempt";
    message.part->data = "data";
    message.part->status = 200;
    auto bytes = encode_message(message);
    for (int i = 0; i < 3; ++i) {
        bytes[seed % bytes.size()] = static_cast<char>(seed >> 32);
        seed = seed * 6364136223846793005ULL + 1;
    }
    decode_message(bytes, s_unknown);
    decode_message(bytes.substr(0, seed % bytes.size()), s_unknown);
}

static Core::ErrorOr<Schema::Message> decode_json(nlohmann::json const& value, std::string& unknown)
{
    auto const cbor = nlohmann::json::to_cbor(value);
    return decode_message(std::string(cbor.begin(), cbor.end()), unknown);
}

TEST(MessageCodec, WrongTypesAndTwoMembersAtOnceAreRefused)
{
    for (auto const* value : { R"({"cancel":{"attempt":"a"},"accepted":{"attempt":"a"}})", R"({"cancel":{"attempt":7}})", R"({"refused":{"attempt":"a","reason":"whim","retry_after_ms":0}})", R"({})" }) {
        std::string unknown;
        auto const decoded = decode_json(nlohmann::json::parse(value), unknown);
        ASSERT_FALSE(decoded.has_value()) << value;
        EXPECT_EQ(decoded.error().code, Core::ErrorCode::MalformedMessage);
    }
}

// A build that knows more may stand on the other side; what it says beside costs nothing of what this build knows.
TEST(MessageCodec, WhatAnotherBuildKnowsBesideIsPassedOverAndNamed)
{
    std::string unknown;
    auto const kind = decode_json(nlohmann::json::parse(R"({"nothing":{}})"), unknown);
    ASSERT_TRUE(kind.has_value());
    EXPECT_EQ(Schema::to_value(*kind), nlohmann::json::object());
    EXPECT_EQ(unknown, "nothing");
    auto const member = decode_json(nlohmann::json::parse(R"({"cancel":{"attempt":"a","more":1}})"), unknown);
    ASSERT_TRUE(member.has_value() && member->cancel);
    EXPECT_EQ(member->cancel->attempt, "a");
    EXPECT_EQ(unknown, "cancel.more");
}

RC_GTEST_PROP(MessageCodec, MembersThatAreAddedAnywhereChangeNothingElse, ())
{
    Schema::Message message;
    message.ping.emplace();
    message.ping->sent_at_ms = *rc::gen::arbitrary<int64_t>();
    message.ping->list_version = *rc::gen::arbitrary<int64_t>();
    auto value = Schema::to_value(message);
    auto const before = value;
    auto const name = "added_" + std::to_string(*rc::gen::inRange(0, 1000));
    value["ping"][name] = *rc::gen::element(nlohmann::json(1), nlohmann::json("text"), nlohmann::json { { "a", { 1, 2 } } }, nlohmann::json(true));
    std::string unknown;
    auto const decoded = decode_json(value, unknown);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(Schema::to_value(*decoded) == before);
    RC_ASSERT(unknown == "ping." + name);
}

RC_GTEST_PROP(WebSocketCodec, NoBytesCrashEitherSide, (std::string const& bytes))
{
    for (auto side : { WebSocketCodec::Side::Client, WebSocketCodec::Side::Server }) {
        bool is_opened = false;
        WebSocketCodec codec(side, 1024, { .output = [](auto) {}, .opened = [&] { is_opened = true; }, .message = [](auto) {}, .closed = [] {} });
        codec.start();
        codec.receive(bytes);
        codec.receive("GET / HTTP/1.1\r\n" + bytes);
        RC_ASSERT(!is_opened);
    }
}

TEST(WebSocketCodec, AMessageOverTheLimitClosesTheConnection)
{
    std::string to_server;
    std::string to_client;
    std::string received;
    bool is_closed = false;
    WebSocketCodec client(WebSocketCodec::Side::Client, 1 << 20, { .output = [&](auto bytes) { to_server += bytes; }, .opened = [] {}, .message = [](auto) {}, .closed = [] {} });
    WebSocketCodec server(WebSocketCodec::Side::Server, 1024, { .output = [&](auto bytes) { to_client += bytes; }, .opened = [] {}, .message = [&](auto payload) { received = payload; }, .closed = [&] { is_closed = true; } });
    auto pump = [&] {
        for (int i = 0; i < 8; ++i) {
            server.receive(std::exchange(to_server, {}));
            client.receive(std::exchange(to_client, {}));
        }
    };
    server.start();
    client.start();
    pump();
    ASSERT_TRUE(client.send("small"));
    pump();
    EXPECT_EQ(received, "small");
    client.send(std::string(4096, 'x'));
    pump();
    EXPECT_TRUE(is_closed);
    EXPECT_EQ(received, "small");
}

namespace {

Handshake side(Handshake::Side which, std::string const& id, std::vector<std::string> keys)
{
    return { which, { id, Schema::Role::Agent, 1 }, std::move(keys), Core::random_hex(16) };
}

bool is_proved(Handshake& prover, Handshake& verifier)
{
    auto const hello = prover.on_challenge(verifier.challenge(), 0, 0);
    return hello.has_value() && verifier.on_hello(*hello).has_value();
}

}

TEST(Handshake, OnlyASharedKeyProves)
{
    auto dialer = side(Handshake::Side::Dialer, "a", { "key" });
    auto listener = side(Handshake::Side::Listener, "b", { "key" });
    EXPECT_TRUE(is_proved(dialer, listener));
    EXPECT_TRUE(is_proved(listener, dialer));
    auto stranger = side(Handshake::Side::Dialer, "a", { "other" });
    auto next = side(Handshake::Side::Listener, "b", { "key" });
    EXPECT_FALSE(is_proved(stranger, next));
    EXPECT_FALSE(next.is_proved());
}

TEST(Handshake, TwoKeysAreValidWhileTheyAreRotated)
{
    auto rotated = side(Handshake::Side::Dialer, "a", { "new", "old" });
    auto behind = side(Handshake::Side::Listener, "b", { "old" });
    auto ahead = side(Handshake::Side::Listener, "c", { "new", "old" });
    EXPECT_TRUE(is_proved(behind, rotated));
    auto rotated_again = side(Handshake::Side::Dialer, "a", { "new", "old" });
    EXPECT_TRUE(is_proved(rotated_again, ahead));
}

TEST(Handshake, AReflectedOrRepeatedHelloProvesNothing)
{
    auto victim = side(Handshake::Side::Listener, "v", { "key" });
    auto second = side(Handshake::Side::Listener, "v", { "key" });
    // The attacker has the victim answer its own nonce on another connection.
    auto const reflected = second.on_challenge(victim.challenge(), 0, 0);
    EXPECT_FALSE(victim.on_hello(*reflected).has_value());
    auto dialer = side(Handshake::Side::Dialer, "a", { "key" });
    auto const hello = dialer.on_challenge(victim.challenge(), 0, 0);
    auto other = side(Handshake::Side::Listener, "v", { "key" });
    EXPECT_FALSE(other.on_hello(*hello).has_value());
    auto changed = *hello;
    changed.identity = "somebody-else";
    EXPECT_FALSE(victim.on_hello(changed).has_value());
}
