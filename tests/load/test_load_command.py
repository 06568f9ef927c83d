"""Guards against a load program that ignores invalid options or fails to count orders."""

import orjson
import pytest
from cleo.testers.command_tester import CommandTester

from jacinthcove.commands.load import EXIT_BAD_OPTIONS, RunCommand, executions_per_order
from jacinthcove.standins.service import Service, ServiceSettings
from jacinthcove.store.connections import Connections, NoReply


@pytest.mark.parametrize(
    "arguments",
    [
        "",
        "--routers 127.0.0.1:1 --profile unknown",
        "--routers 127.0.0.1:1 --traffic unknown",
        "--routers 127.0.0.1:1 --seconds soon",
    ],
)
def test_invalid_options_have_their_own_exit_code(arguments):
    assert CommandTester(RunCommand()).execute(arguments) == EXIT_BAD_OPTIONS


def test_runs_of_an_order_are_summed_over_services():
    services = [Service("127.0.0.1:0", ServiceSettings(work_ms=1)) for _ in range(2)]
    for service in services:
        service.start()
        body = orjson.dumps({"request_id": "r", "payload": {"order_id": "o", "work_ms": 1}})
        connections = Connections(service.address, 2_000)
        connections.request("POST", "/v1/operations/reprint", body, {})
        connections.close()
    addresses = [service.address for service in services]
    assert executions_per_order(addresses) == {"reprint/o": 2}
    for service in services:
        service.close()
    with pytest.raises(NoReply):
        executions_per_order(addresses)
