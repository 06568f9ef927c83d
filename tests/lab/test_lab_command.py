"""Tests of the command `jacinthcove-load lab`."""

import pytest
from cleo.testers.command_tester import CommandTester

from jacinthcove.commands.lab import EXIT_BAD_OPTIONS, HEADER, LabCommand


def run(arguments):
    tester = CommandTester(LabCommand())
    status = tester.execute(arguments)
    return status, tester.io.fetch_output().splitlines(), tester.io.fetch_error()


def test_each_load_and_seed_prints_the_same_line_every_time():
    status, lines, _ = run("calm roomy --seeds 2 --seconds 1")
    assert (status, lines[0]) == (0, HEADER)
    assert [line.split()[:2] for line in lines[1:]] == [
        ["calm", "1"],
        ["calm", "2"],
        ["roomy", "1"],
        ["roomy", "2"],
    ]
    assert run("calm --seconds 1")[1][1] == lines[1]


@pytest.mark.parametrize("arguments", ["nothing", "calm --seeds many", "calm --seconds 1.5"])
def test_invalid_options_are_rejected_with_a_message(arguments):
    status, _, error = run(arguments)
    assert status == EXIT_BAD_OPTIONS
    assert "loads are" in error or "whole numbers" in error
