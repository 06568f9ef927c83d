"""Guards against engines of one process that share an id or take settings of another."""

import pytest
from cleo.testers.command_tester import CommandTester

from jacinthcove.commands import standin
from jacinthcove.standins.batch import EngineSettings


@pytest.fixture
def chosen(monkeypatch):
    command = standin.EngineCommand()
    result = []
    monkeypatch.setattr(
        standin,
        "run_until_terminated",
        lambda standins: result.extend(item.settings for item in standins),
    )

    def run(arguments):
        code = CommandTester(command).execute(arguments)
        return code, result

    return run


def test_engines_of_one_process_differ_in_id_domain_and_seed(chosen, monkeypatch):
    monkeypatch.setenv("JACINTHCOVE_SEED", "5")
    monkeypatch.setenv("JACINTHCOVE_ID", "e")
    code, settings = chosen(
        "--listen 127.0.0.1:0 --listen 127.0.0.1:0 --failure-domain a --failure-domain b"
        " --checks-fencing false --cold-ms 0"
    )
    common = {"cold_ms": 0, "checks_fencing": False}
    assert code == 0
    assert settings == [
        EngineSettings(id="e-1", failure_domain="a", seed=5, **common),
        EngineSettings(id="e-2", failure_domain="b", seed=6, **common),
    ]


@pytest.mark.parametrize("arguments", ["--cold-ms x", "--checks-fencing 1", "--id a --id b"])
def test_bad_setting_is_refused_before_anything_starts(chosen, arguments):
    assert chosen(arguments) == (2, [])
