"""The admin API and its client: authentication, conflicts, retries and failover."""

from dataclasses import replace

import pytest
from cleo.testers.application_tester import ApplicationTester
from gevent.pywsgi import WSGIServer

from jacinthcove.clock import ManualClock
from jacinthcove.commands.operator import application
from jacinthcove.config.document import ConfigFile, encode, parse
from jacinthcove.config.model import MoveState
from jacinthcove.control.adminclient import AdminClient, AdminError, NoController, StartedMove
from jacinthcove.control.api import AdminApi
from jacinthcove.control.configstore import CURRENT_KEY, ConfigStore
from jacinthcove.errors import ConfigurationError
from jacinthcove.store.memory import MemoryStore

KEY = "operator-key-0001"
FILE = """
site: test
fleet_key: fleet-key-0123456789
operators: {op: {key: operator-key-0001}}
failure_domains: {a: {}, b: {}}
workspaces: {north: {share: 4, key: workspace-key-north}}
services: {drafting: {kind: engine, version: v1, routes: {draft: {}}}}
"""


class Controller:
    """An admin API on a loopback port."""

    def __init__(self, store, clock):
        self.active: str | None = None
        self.members: tuple = ([("r1", 0)], [])
        self.config_store = ConfigStore(store, clock, outcome_timeout_ms=1_000)
        self.api = AdminApi(self.config_store, lambda: self.active, lambda: self.members)
        self.server = WSGIServer(("127.0.0.1", 0), self.api, log=None)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"


@pytest.fixture
def clock():
    # Earlier than the system clock, by which the command line computes deadlines.
    return ManualClock(wall_ms=1_000_000_000_000)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def fleet():
    return parse(ConfigFile("site.yml", FILE)).require_config()


@pytest.fixture
def controllers(store, clock, fleet):
    pair = [Controller(store, clock), Controller(store, clock)]
    pair[0].config_store.submit(fleet, 0)
    yield pair
    for controller in pair:
        controller.server.stop(timeout=0)


@pytest.fixture
def client(controllers, clock):
    client = AdminClient([c.address for c in controllers], KEY, clock, retry_for_ms=900)
    yield client
    client.close()


@pytest.mark.parametrize("key", ["", "operator-key-0002", "workspace-key-north"])
def test_unknown_key_can_neither_read_nor_change(controllers, clock, store, key):
    client = AdminClient([controllers[0].address], key, clock)
    for call in (client.config, client.status, lambda: client.drain("a")):
        with pytest.raises(AdminError) as caught:
            call()
        assert caught.value.status == 401
    assert len(store.versions(CURRENT_KEY)) == 1


def test_bootstrap_key_is_rejected_once_an_operator_exists(controllers, clock, fleet):
    api = controllers[0].api
    api.bootstrap_key_hash = fleet.workspaces["north"].key_hash
    client = AdminClient([controllers[0].address], "workspace-key-north", clock)
    with pytest.raises(AdminError):
        client.config()
    api.config_store.store.objects.clear()
    assert client.apply(fleet, 0).revision == 1


def test_secrets_are_not_returned_and_survive_an_apply(client, controllers, fleet):
    assert client.config().fleet_key == ""
    assert client.apply(replace(client.config(), lookup_lifetime_ms=5_000), 1).revision == 2
    assert controllers[0].config_store.current().fleet_key == fleet.fleet_key


def test_second_of_two_concurrent_changes_gets_a_conflict(client):
    base = client.config()
    assert client.apply(replace(base, lookup_lifetime_ms=5_000), 1).revision == 2
    with pytest.raises(AdminError, match="at revision 2") as caught:
        client.apply(replace(base, lookup_lifetime_ms=7_000), 1)
    assert caught.value.status == 409
    assert client.config().lookup_lifetime_ms == 5_000


def test_retried_change_takes_effect_once(client, store):
    body = encode(replace(client.config(), lookup_lifetime_ms=5_000))
    headers = {"If-Revision": "1", "X-Change-Id": "same-change"}
    revisions = [client.call("PUT", "/admin/config", body, headers)["revision"] for _ in range(2)]
    assert revisions == [2, 2]
    assert len(store.versions(CURRENT_KEY)) == 2


def test_lost_store_reply_does_not_hide_an_accepted_change(client, store):
    store.lose_answers = 2  # the history entry and the write itself
    assert client.drain("a") == 2
    assert client.config().failure_domains["a"].drained


def test_change_during_a_store_outage_has_no_effect(client, store):
    client.config()
    store.outage = True
    with pytest.raises(NoController, match="nothing was changed"):
        client.drain("a")
    store.outage = False
    assert client.config().revision == 1


def test_invalid_configuration_is_rejected(client):
    with pytest.raises(ConfigurationError, match="is not above 0"):
        fleet = client.config()
        north = replace(fleet.workspaces["north"], share=0.0)
        client.apply(replace(fleet, workspaces={"north": north}), 1)
    with pytest.raises(AdminError) as caught:
        client.call("PUT", "/admin/config", encode(client.config()))
    assert caught.value.status == 428


def test_call_is_redirected_to_the_active_controller(client, controllers):
    standby, active = controllers
    standby.active = active.address
    client.address_order = [standby.address]
    assert client.drain("b") == 2
    standby.server.stop(timeout=0)
    assert client.return_domain("b") == 3


def test_members_without_confirmation_are_named(client, controllers):
    controllers[0].members = ([("r1", 2), ("r2", 1)], ["r3"])
    state = client.wait_in_force(client.drain("a"), timeout_ms=500)
    assert not state.in_force
    assert state.summary() == "revision 2: 1 confirmed, not confirmed by r2, r3 (no answer)"
    controllers[0].members = ([("r1", 2), ("r2", 3)], [])
    assert client.in_force(2).in_force
    controllers[0].members = ([], [])
    assert not client.in_force(2).in_force


def test_move_starts_once_and_cannot_be_aborted_after_its_end(client, controllers, clock):
    request = {"service": "drafting", "to": "v2", "deadline_ms": clock.wall() + 3_600_000}
    assert client.start_move(request) == StartedMove("drafting-v2", 2)
    assert client.start_move(request) == StartedMove("drafting-v2", 2)
    with pytest.raises(ConfigurationError, match="already moves"):
        client.start_move({**request, "to": "v3"})
    assert client.abort_move("drafting-v2") == 3
    assert client.moves()[0]["reason"] == "aborted by op"
    done = controllers[0].config_store.current()
    move = replace(done.moves["drafting-v2"], state=MoveState.DONE)
    controllers[0].config_store.submit(replace(done, moves={move.id: move}), 3)
    with pytest.raises(AdminError, match="is done"):
        client.abort_move("drafting-v2")


def test_history_names_operator_and_action(client):
    client.drain("a")
    newest, oldest = client.history()
    assert (newest["author"], newest["action"], newest["changes"]) == ("op", "drain a", 1)
    assert oldest["revision"] == 1
    assert not client.config(1).failure_domains["a"].drained


@pytest.mark.parametrize(
    ("command", "code", "text"),
    [
        ("config check {file}", 0, "usable: 1 workspaces"),
        ("config check {file}.none", 1, "cannot be read"),
        ("config diff {file}", 0, "no difference from revision 1"),
        ("config apply {file} --if-revision 7", 3, "another change came first"),
        ("config show", 0, '"revision": 1'),
        ("domain drain a", 0, "accepted as revision 2"),
        ("domain drain a --wait --wait-limit 0s", 6, "not confirmed by r1"),
        ("domain drain x", 4, "configured: a, b"),
        ("move start drafting v2 --step 0.05:10 --step 1:20", 0, "drafting-v2 started"),
        ("move start drafting v2 --step x", 1, "expected SHARE:MIN_REQUESTS"),
        ("move watch none", 1, "no move is called none"),
        ("status", 0, "member r1: revision 0"),
    ],
)
def test_commands_return_exit_code_and_message(command, code, text, client, tmp_path, monkeypatch):
    path = tmp_path / "site.yml"
    path.write_text(FILE)
    monkeypatch.setenv("JACINTHCOVE_OPERATOR_KEY", KEY)
    monkeypatch.setenv("JACINTHCOVE_CONTROLLERS", ",".join(client.addresses))
    tester = ApplicationTester(application())
    assert tester.execute(command.format(file=path)) == code
    assert text in tester.io.fetch_output() + tester.io.fetch_error()
