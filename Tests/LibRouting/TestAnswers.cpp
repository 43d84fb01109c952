// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/AnswerAssembly.h>
#include <LibRouting/AnswerBuffer.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace Routing;

static std::vector<Schema::Part> parts_of(size_t count)
{
    std::vector<Schema::Part> parts;
    AnswerBuffer buffer("a");
    for (size_t i = 0; i < count; ++i)
        parts.push_back(buffer.append(std::string(1, static_cast<char>('a' + i % 26)), i + 1 == count));
    return parts;
}

RC_GTEST_PROP(AnswerAssembly, DelayedDuplicateAndReorderedPartsGiveTheWholeAnswer, (uint64_t seed))
{
    auto parts = parts_of(*rc::gen::inRange<size_t>(1, 80));
    std::string expected;
    for (auto const& part : parts)
        expected += part.data;
    std::mt19937_64 random(seed);
    auto sent = parts;
    for (size_t i = 0; i < parts.size() / 3; ++i)
        sent.push_back(parts[random() % parts.size()]);
    std::shuffle(sent.begin(), sent.end(), random);
    AnswerAssembly assembly;
    std::string received;
    for (auto const& part : sent) {
        RC_ASSERT(assembly.add(part) != AnswerAssembly::PartResult::Invalid);
        for (auto const& ready : assembly.take_ready())
            received += ready.data;
        RC_ASSERT(expected.starts_with(received));
        RC_ASSERT(assembly.is_whole() == (received.size() == expected.size()));
    }
    RC_ASSERT(received == expected);
}

RC_GTEST_PROP(AnswerAssembly, AnAnswerWithAMissingPartIsNeverWhole, ())
{
    auto parts = parts_of(*rc::gen::inRange<size_t>(1, 40));
    parts.erase(parts.begin() + static_cast<ptrdiff_t>(*rc::gen::inRange<size_t>(0, parts.size())));
    AnswerAssembly assembly;
    for (auto const& part : parts)
        assembly.add(part);
    assembly.take_ready();
    RC_ASSERT(!assembly.is_whole());
}

// Guards against a malformed answer that an agent of an older build passes on from its backend server.
TEST(AnswerAssembly, AHeadThatHttpDoesNotAllowIsInvalid)
{
    auto const add_head = [](int64_t status, std::string const& name, std::string const& value) {
        Schema::Part part {};
        part.status = status;
        part.headers.emplace();
        part.headers->emplace_back();
        part.headers->back().name = name;
        part.headers->back().value = value;
        return AnswerAssembly().add(std::move(part));
    };
    EXPECT_EQ(add_head(200, "X-Field", "a b\xe9"), AnswerAssembly::PartResult::Accepted);
    for (int64_t const status : { -200, 0, 1, 99, 100, 103, 199, 600, 1000 })
        EXPECT_EQ(add_head(status, "X-Field", "1"), AnswerAssembly::PartResult::Invalid) << status;
    for (auto const* name : { "", "X Odd", "X\x01", "X\x7f", "X\xe9", "X:" })
        EXPECT_EQ(add_head(200, name, "1"), AnswerAssembly::PartResult::Invalid) << name;
    for (auto const* value : { "a\rb", "a\nb", "\x01", "\x7f" })
        EXPECT_EQ(add_head(200, "X-Field", value), AnswerAssembly::PartResult::Invalid) << value;
}

TEST(AnswerAssembly, PartsAfterTheLastOrBeyondTheWindowAreInvalid)
{
    AnswerAssembly assembly;
    auto parts = parts_of(2);
    assembly.add(parts[1]);
    Schema::Part behind {};
    behind.sequence = 2;
    EXPECT_EQ(assembly.add(behind), AnswerAssembly::PartResult::Invalid);
    Schema::Part far {};
    far.sequence = AnswerAssembly::max_parts_ahead + 1;
    EXPECT_EQ(AnswerAssembly().add(far), AnswerAssembly::PartResult::Invalid);
}

RC_GTEST_PROP(AnswerBuffer, AnAnswerResumesWhereItStoppedWhereverTheLinkIsLost, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    AnswerBuffer buffer("a");
    AnswerAssembly assembly;
    std::string expected;
    std::string received;
    std::vector<Schema::Part> on_the_wire;
    auto const count = *rc::gen::inRange<size_t>(1, 60);
    size_t made = 0;
    while (!assembly.is_whole()) {
        if (made < count) {
            made += 1;
            auto const data = std::to_string(random() % 1000);
            expected += data;
            on_the_wire.push_back(buffer.append(data, made == count));
        }
        bool const breaks = random() % 6 == 0;
        auto const arriving = breaks ? random() % (on_the_wire.size() + 1) : on_the_wire.size();
        for (size_t i = 0; i < arriving; ++i)
            assembly.add(on_the_wire[i]);
        on_the_wire.clear();
        for (auto const& ready : assembly.take_ready())
            received += ready.data;
        if (random() % 2 == 0)
            buffer.acknowledge(assembly.next_sequence());
        if (breaks || made == count) {
            RC_ASSERT(buffer.can_resume_from(assembly.next_sequence()));
            on_the_wire = buffer.parts_from(assembly.next_sequence());
        }
    }
    RC_ASSERT(received == expected);
    buffer.acknowledge(assembly.next_sequence());
    RC_ASSERT(buffer.is_acknowledged());
    RC_ASSERT(buffer.unacknowledged_bytes() == 0u);
}
