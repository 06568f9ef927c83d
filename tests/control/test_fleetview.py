"""The controller must not overload itself in a large fleet nor act on old reports."""

from base64 import b64encode

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.control.fleetview import REPORT_AGE_MS_PER_ROUTER, FleetView
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.store.vms import VmList


class FakeFleetView(FleetView):
    """Builds the reply of a router instead of requesting it."""

    def __init__(self, routers):
        super().__init__(ManualClock(), "127.0.0.1:1", VmList)
        self.routers = routers
        self.asked = 0

    def _fetch_fleet(self, address):
        self.asked += 1
        members = [
            pb.MemberStatus(member_id=f"r{n}", config_revision=self.asked, incarnation=5)
            for n in range(self.routers)
        ]
        body = pb.StatusReply(members=members).SerializeToString()
        return {"statuses": b64encode(body).decode(), "missing": ["r99"]}


def test_statuses_and_missing_routers_are_decoded():
    reports, missing = FakeFleetView(2).fetch_reports()
    assert [(r.member_id, r.incarnation) for r in reports] == [("r0", 5), ("r1", 5)]
    assert reports[0].status.config_revision == 1
    assert missing == ["r99"]


@pytest.mark.parametrize("routers", [8, 3_000])
def test_reports_are_reused_longer_in_larger_fleets(routers):
    # Evaluating 3,000 routers at every tick of 0.5 s took more than a third of a core.
    view = FakeFleetView(routers)
    first = view.reports()
    view.clock.advance(REPORT_AGE_MS_PER_ROUTER * routers - 1)
    assert view.reports() is first
    view.clock.advance(1)
    assert view.reports()[0].status.config_revision == 2
    # Requests of operators always fetch new reports.
    assert view.revisions()[0][0] == ("r0", 3)


def test_empty_reports_are_not_reused():
    view = FakeFleetView(0)
    assert view.reports() == []
    view.routers = 2
    assert len(view.reports()) == 2


def test_malformed_reply_yields_no_reports():
    view = FakeFleetView(1)
    for reply in ({"missing": []}, {"statuses": 3, "missing": []}, {"statuses": "AQ"}, []):
        view._fetch_fleet = lambda address, reply=reply: reply
        assert view.fetch_reports() == ([], [])
