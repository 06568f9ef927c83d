"""Guards against a controller that overloads itself in a large fleet or acts on old reports."""

from base64 import b64encode

import pytest

from jacinthcove.clock import ManualClock
from jacinthcove.control.fleetview import REPORT_AGE_MS_PER_ROUTER, FleetView
from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.store.vms import VmList


class View(FleetView):
    """Answers for a router instead of asking one."""

    def __init__(self, routers):
        super().__init__(ManualClock(), "127.0.0.1:1", VmList)
        self.routers = routers
        self.asked = 0

    def _ask(self, address):
        self.asked += 1
        members = [
            pb.MemberStatus(member_id=f"r{n}", config_revision=self.asked, incarnation=5)
            for n in range(self.routers)
        ]
        body = pb.StatusReply(members=members).SerializeToString()
        return {"statuses": b64encode(body).decode(), "missing": ["r99"]}


def test_statuses_and_missing_routers_are_decoded():
    reports, missing = View(2).gather()
    assert [(r.member_id, r.incarnation) for r in reports] == [("r0", 5), ("r1", 5)]
    assert reports[0].status.config_revision == 1
    assert missing == ["r99"]


@pytest.mark.parametrize("routers", [8, 3_000])
def test_reports_are_kept_for_a_time_that_grows_with_the_fleet(routers):
    # Judging 3,000 routers at every tick of 0.5 s took more than a third of a core.
    view = View(routers)
    first = view.reports()
    view.clock.advance(REPORT_AGE_MS_PER_ROUTER * routers - 1)
    assert view.reports() is first
    view.clock.advance(1)
    assert view.reports()[0].status.config_revision == 2
    # What operators ask for is always gathered anew.
    assert view.revisions()[0][0] == ("r0", 3)


def test_a_fleet_without_answers_is_asked_again_at_once():
    view = View(0)
    assert view.reports() == []
    view.routers = 2
    assert len(view.reports()) == 2


def test_a_malformed_answer_is_no_answer():
    view = View(1)
    for answer in ({"missing": []}, {"statuses": 3, "missing": []}, {"statuses": "AQ"}, []):
        view._ask = lambda address, answer=answer: answer
        assert view.gather() == ([], [])
