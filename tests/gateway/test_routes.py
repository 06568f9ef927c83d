"""Matching of requests to routes, workspaces and services."""

import pytest

from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.model import ServiceShare
from jacinthcove.gateway.routes import RouteTable, choose_service
from tests.gateway.samples import config, route


@pytest.fixture
def table():
    routes = (
        route(name="all", path_prefix="/"),
        route(name="draft", path_prefix="/draft/"),
        route(name="open", path_prefix="/open/", anonymous=True),
    )
    return RouteTable(config(routes=routes))


@pytest.mark.parametrize(
    ("path", "name"), [("/draft/1", "draft"), ("/drafts/1", "all"), ("/draft", "all")]
)
def test_longest_prefix_wins(table, path, name):
    assert table.find("desk.example", path).name == name


@pytest.mark.parametrize("host", ["desk.example", "DESK.example", "desk.example:80"])
def test_host_matches_regardless_of_case_and_port(table, host):
    assert table.find(host, "/draft/1").name == "draft"


def test_unknown_host_has_no_route(table):
    with pytest.raises(RequestRefused) as refused:
        table.find("other.example", "/draft/1")
    assert refused.value.code is ResultCode.UNKNOWN_ROUTE


@pytest.mark.parametrize("key", ["", "k2"])
def test_key_is_required_unless_the_route_is_anonymous(table, key):
    with pytest.raises(RequestRefused) as refused:
        table.workspace(table.find("desk.example", "/draft/1"), key)
    assert refused.value.code is ResultCode.UNAUTHENTICATED
    assert table.workspace(table.find("desk.example", "/open/1"), key) == ""


def test_key_names_its_workspace(table):
    assert table.workspace(table.find("desk.example", "/draft/1"), "k1") == "small"


def test_services_are_chosen_by_weight():
    split = route(services=(ServiceShare("a", 90), ServiceShare("b", 10)))
    chosen = [choose_service(split, lambda point=point: point / 100) for point in range(100)]
    assert (chosen.count("a"), chosen.count("b")) == (90, 10)
