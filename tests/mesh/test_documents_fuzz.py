"""Guards against revisions that go back, routers that differ, and wrongly patched bodies."""

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from mesh_fakes import FakeNetwork, FakePeers, run_spawned, seeded

from jacinthcove.clock import ManualClock
from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh import gossip, patches
from jacinthcove.mesh.documents import CONFIG, Document
from jacinthcove.mesh.gossip import GossipedDocuments
from jacinthcove.mesh.kinds import DOCUMENTS_PULL, DOCUMENTS_PUSH, KINDS
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member

NODES = 4
NODE = st.integers(0, NODES - 1)


def body_of(revision):
    fields = {f"key-{i}": i * 1000 for i in range(30)}
    fields.update({"revision": revision, f"key-{revision % 7}": revision})
    return patches.encode_canonical(fields)


class DocumentsMachine(RuleBasedStateMachine):
    documents = GossipedDocuments

    def __init__(self):
        super().__init__()
        self.network = FakeNetwork()
        self.network.alter = self.alter
        self.highest = 0
        self.corrupt = False
        self.nodes = []
        self.seen = [0] * NODES
        clock = ManualClock()
        all_members = [Member(f"r{i}", f"10.0.0.{i}:1", "", "", 1) for i in range(NODES)]
        for me in all_members:
            members = Membership(me, clock)
            for other in all_members:
                members.merge(other)
            peers = FakePeers(self.network, members)
            self.nodes.append(self.documents(members, peers, seeded()))

    def alter(self, kind, body):
        if not self.corrupt or kind not in (DOCUMENTS_PULL, DOCUMENTS_PUSH):
            return body
        push = KINDS[DOCUMENTS_PUSH].request.FromString(body)
        if kind == DOCUMENTS_PUSH or push.patch_from:
            push.body = push.body.replace(b"000", b"999").replace(b'"value":', b'"value":1')
        return push.SerializeToString() if push.patch_from or kind == DOCUMENTS_PUSH else body

    @rule(i=NODE, step=st.integers(1, 20))
    def offer_new(self, i, step):
        self.highest += step
        self.nodes[i].offer(Document(CONFIG, self.highest, body_of(self.highest)))
        run_spawned()

    @rule(i=NODE, back=st.integers(0, 5))
    def offer_old(self, i, back):
        revision = self.highest - back
        if revision > 0:
            self.nodes[i].offer(Document(CONFIG, revision, body_of(revision)))
            run_spawned()

    @rule(i=NODE, j=NODE)
    def probe(self, i, j):
        if i != j and self.network.reaches(f"10.0.0.{i}:1", f"10.0.0.{j}:1"):
            self.nodes[j].pull_newer(f"r{i}", self.nodes[i].revisions())
            run_spawned()

    @rule(index=st.integers(0, 10_000))
    def replay_old_message(self, index):
        self.network.replay(index)
        run_spawned()

    @rule(groups=st.lists(st.integers(0, 1), min_size=NODES, max_size=NODES))
    def partition(self, groups):
        self.network.group = {f"10.0.0.{i}:1": group for i, group in enumerate(groups)}

    @rule(corrupt=st.booleans())
    def corrupt_patches(self, corrupt):
        self.corrupt = corrupt

    @invariant()
    def revisions_never_go_back_and_bodies_are_right(self):
        for i, node in enumerate(self.nodes):
            document = node.get(CONFIG)
            if document is not None:
                assert document.revision >= self.seen[i]
                assert document.body == body_of(document.revision)
                self.seen[i] = document.revision

    def teardown(self):
        self.network.group = {}
        for i in range(NODES):
            for j in range(NODES):
                self.probe(i, j)
        for i in range(NODES):
            for j in range(NODES):
                self.probe(i, j)
        assert {node._revision(CONFIG) for node in self.nodes} == {self.highest}


def run(machine, examples):
    options = settings(
        max_examples=examples,
        stateful_step_count=20,
        deadline=None,
        derandomize=True,
        database=None,
        report_multiple_bugs=False,
        phases=[Phase.generate],
    )
    run_state_machine_as_test(machine, settings=options)


def test_documents_never_go_back_and_converge():
    run(DocumentsMachine, 150)


class GoesBack(GossipedDocuments):
    def offer(self, document):
        self._store_document(document)
        return True


class NeverPulls(GossipedDocuments):
    def pull_newer(self, member_id, revisions):
        pass


class NeverPullsFullBody(GossipedDocuments):
    def _request_document(self, member_id, kind, have_revision):
        return super()._request_document(member_id, kind, self._revision(kind))


class TrustsPatches(GossipedDocuments):
    def _decode(self, push):
        body = self.recent_bodies.get(push.kind, {}).get(push.patch_from)
        if push.patch_from and body:
            return Document(push.kind, push.revision, patches._apply_patch(body, push.body))
        return super()._decode(push)


@pytest.mark.parametrize("mutant", [GoesBack, NeverPulls, NeverPullsFullBody, TrustsPatches])
def test_checks_detect_each_broken_document_rule(mutant):
    machine = type("MutantMachine", (DocumentsMachine,), {"documents": mutant})
    with pytest.raises(AssertionError):
        run(machine, 300)


def test_pull_returns_a_patch_smaller_than_the_body():
    # Without usable patches, each change would send the full configuration.
    machine = DocumentsMachine()
    first = machine.nodes[0]
    for revision in (1, 2):
        first.offer(Document(CONFIG, revision, body_of(revision)))
    push = first.handle_pull("r1", patches.pb.DocumentPull(kind=CONFIG, have_revision=1))
    assert push.patch_from == 1
    assert len(push.body) < len(body_of(2)) / 2
    assert patches.decode_push(push, body_of(1)).body == body_of(2)


def test_bootstrap_waits_for_a_source_and_uses_the_highest_revision(monkeypatch):
    # Starting without a document, or with an older one than a peer has, would revert the fleet.
    monkeypatch.setattr(gossip, "FIRST_RETRY_S", 0.001)
    machine = DocumentsMachine()
    fresh, holder = machine.nodes[0], machine.nodes[1]
    answers = [StoreUnavailable("down"), StoreUnavailable("down")]

    def read_store():
        if answers:
            raise answers.pop()
        return Document(CONFIG, 3, body_of(3))

    assert fresh.bootstrap(CONFIG, read_store).revision == 3
    assert not answers
    holder._store_document(Document(CONFIG, 5, body_of(5)))
    other = machine.nodes[2]
    assert other.bootstrap(CONFIG, read_store).revision == 5


def test_a_received_patch_is_forwarded_and_not_computed_again(monkeypatch):
    # A patch between VM lists of the design size takes 0.35 s, which every router would spend.
    machine = DocumentsMachine()
    computed = []

    def counting_patch_push(document, *arguments):
        computed.append(document.revision)
        return patches.make_patch_push(document, *arguments)

    monkeypatch.setattr(gossip, "make_patch_push", counting_patch_push)
    machine.nodes[0].offer(Document(CONFIG, 1, body_of(1)))
    run_spawned()
    machine.nodes[0].offer(Document(CONFIG, 2, body_of(2)))
    run_spawned()
    assert [node.get(CONFIG).revision for node in machine.nodes] == [2] * NODES
    assert computed == [2]
    # A patch between other revisions has to be computed.
    pull = patches.pb.DocumentPull(kind=CONFIG, have_revision=1)
    assert machine.nodes[1].handle_pull("r0", pull).patch_from == 1
    machine.nodes[1].offer(Document(CONFIG, 3, body_of(3)))
    assert machine.nodes[1].handle_pull("r0", pull).patch_from == 1
    assert computed[-1] == 3
