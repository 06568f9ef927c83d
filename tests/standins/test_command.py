"""Guards against engines in one process that share an id or use settings of another one."""

import pytest
from cleo.testers.command_tester import CommandTester

from jacinthcove.commands import standin
from jacinthcove.standins.batch import EngineSettings


@pytest.fixture
def run_command(monkeypatch):
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


def test_engines_in_one_process_differ_in_id_domain_and_seed(run_command, monkeypatch):
    monkeypatch.setenv("JACINTHCOVE_SEED", "5")
    monkeypatch.setenv("JACINTHCOVE_ID", "e")
    code, settings = run_command(
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
def test_invalid_setting_is_rejected_before_any_engine_starts(run_command, arguments):
    assert run_command(arguments) == (2, [])
