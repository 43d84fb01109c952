# SPDX-License-Identifier: BSD-2-Clause
"""Answers under way while entries and engines stand still: nothing is lost, so nothing may be reset."""

import streams_under_way as under_way

SEED = 1


def assert_none_reset(outcome):
    assert outcome.begun(), outcome.line()
    assert not outcome.wrong() and not outcome.reset(), outcome.line()


def test_no_answer_is_reset_by_an_entry_that_stood_still(build, folders):
    """
    Seen: streams were reset whose engines had written all the while.
    How: an entry stood still for 2.5 s, and its first look at the time found all its engines silent for that long. It ended their
    sends before it read what they had written; others had no place, or there was no budget for as many further tries at once.
    Cause: silence was counted from the last byte that was read, by a clock that goes on while nothing is read.
    Proof: entries are stopped three times under 24 streams; each comes whole.
    """
    assert_none_reset(under_way.play(build, folders, under_way.stop_an_entry, SEED))


def test_no_answer_is_reset_while_all_its_engines_are_silent(build, folders):
    """
    Seen: streams were reset whose engines went on with them a moment later.
    How: all engines stood still for 3.2 s in the middle of their answers. Entries ended the silent sends, and then found no place, or
    no budget, to go on elsewhere; what the engines wrote next met closed connections.
    Cause: a send was given up before anything better was at hand.
    Proof: 24 streams, no place to spare; each comes whole.
    """
    assert_none_reset(under_way.play(build, folders, under_way.silence_all_engines, SEED, is_tight=True))
