// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Hash.h>
#include <gtest/gtest.h>

TEST(Hash, Sha256OfSlicesEqualsSha256OfTheWhole)
{
    Core::Sha256 hash;
    hash.update("a");
    hash.update("bc");
    // FIPS 180-2, appendix B.1.
    EXPECT_EQ(hash.finish(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Hash, StableHashDependsOnWhereTheInputIsSplit)
{
    EXPECT_NE(Core::stable_hash("ab", "c"), Core::stable_hash("a", "bc"));
    EXPECT_EQ(Core::stable_hash("ab", "c"), Core::stable_hash("ab", "c"));
}

TEST(Hash, RemovingACandidateKeepsTheRendezvousOrderOfTheOthers)
{
    auto const order = Core::rendezvous_order("key", { "a", "b", "c", "d" });
    auto without = order;
    without.erase(without.begin() + 1);
    std::vector<std::string> remaining { "a", "b", "c", "d" };
    std::erase(remaining, order[1]);
    EXPECT_EQ(Core::rendezvous_order("key", remaining), without);
}
