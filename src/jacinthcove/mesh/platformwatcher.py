"""Two members per failure domain watch the store and the VM list and publish changes.

They offer each change as a document, which the mesh distributes to all other routers.
"""

import hashlib
import random
from collections.abc import Callable

import gevent
import orjson
import structlog

from jacinthcove.errors import StoreUnavailable
from jacinthcove.mesh.documents import CONFIG, VMS, Document, Documents
from jacinthcove.mesh.members import Membership
from jacinthcove.mesh.peers import Member, Members
from jacinthcove.store.store import Store, StoredObject
from jacinthcove.store.vms import VmList, decode_vms, encode_vms_by_id

CONFIG_KEY = "config/current"
WATCHERS_PER_DOMAIN = 2
WATCH_TIMEOUT_MS = 20_000
VM_POLL_INTERVAL_S = 2.0
SELECTION_CHECK_S = 1.0
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


def config_document(stored: StoredObject) -> Document:
    """Return the stored configuration as a document; raises `ValueError` on a malformed body."""
    body = orjson.loads(stored.value)
    revision = body.get("revision") if isinstance(body, dict) else None
    if not isinstance(revision, int) or revision < 1:
        raise ValueError(f"{stored.key} has no positive integer revision")
    return Document(CONFIG, revision, stored.value)


def vms_document(vm_list: VmList) -> Document:
    """Return the VM list as a document of the same revision."""
    return Document(VMS, vm_list.revision, encode_vms_by_id(vm_list))


def follow_vm_list(documents: Documents, members: Membership) -> None:
    """Set the VM list of `members` from the newest document, now and at each change."""
    documents.subscribe(VMS, lambda document: members.set_vm_list(decode_vms(document.body)))
    document = documents.get(VMS)
    if document is not None:
        members.set_vm_list(decode_vms(document.body))


def _watch_hash(member: Member) -> bytes:
    name = f"platform-watch\n{member.failure_domain}\n{member.id}"
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


class PlatformWatcher:
    """Watches the configuration and polls the VM list while this member is selected to."""

    def __init__(
        self,
        members: Members,
        documents: Documents,
        store: Store,
        read_vms: Callable[[], VmList],
        rng: random.Random | None = None,
    ):
        self.members = members
        self.documents = documents
        self.store = store
        self.read_vms = read_vms
        self.rng = rng or random.Random()
        self.version = 0
        self.greenlets: list[gevent.Greenlet] = []
        self.log = structlog.get_logger()

    def start(self) -> None:
        """Start the watch and the poll in their own greenlets."""
        self.greenlets = [
            gevent.spawn(self._repeat, self.watch_config, 0.0),
            gevent.spawn(self._repeat, self.poll_vms, VM_POLL_INTERVAL_S),
        ]

    def close(self) -> None:
        """Kill the greenlets of the watch and the poll."""
        gevent.killall(self.greenlets)
        self.greenlets = []

    def is_selected(self) -> bool:
        """Return whether this member is one of the two watchers of its failure domain."""
        me = self.members.me
        domain = [m for m in self.members.alive() if m.failure_domain == me.failure_domain]
        chosen = sorted(domain, key=_watch_hash)[:WATCHERS_PER_DOMAIN]
        return me.id in {m.id for m in chosen}

    def watch_config(self) -> None:
        """Wait for one change of the stored configuration and offer it as a document."""
        stored = self.store.watch(CONFIG_KEY, self.version, WATCH_TIMEOUT_MS)
        if stored is None:
            return
        self.version = stored.version
        try:
            self.documents.offer(config_document(stored))
        except ValueError as error:
            self.log.error("stored_configuration_malformed", reason=str(error))

    def poll_vms(self) -> None:
        """Read the VM list once and offer it if its revision is new."""
        vm_list = self.read_vms()
        known = self.documents.get(VMS)
        if known is None or vm_list.revision > known.revision:
            self.documents.offer(vms_document(vm_list))

    def _repeat(self, step: Callable[[], None], period_s: float) -> None:
        failures = 0
        while True:
            if not self.is_selected():
                gevent.sleep(SELECTION_CHECK_S * self.rng.uniform(0.8, 1.2))
                continue
            failures = 0 if self._succeeds(step, failures) else failures + 1
            gevent.sleep(self.backoff_s(failures) if failures else period_s)

    def _succeeds(self, step: Callable[[], None], failures: int) -> bool:
        try:
            step()
        except StoreUnavailable as error:
            if not failures:
                self.log.warning("platform_unavailable", step=step.__name__, reason=str(error))
            return False
        except Exception:
            self.log.exception("platform_step_failed", step=step.__name__)
            return False
        if failures:
            self.log.info("platform_available_again", step=step.__name__)
        return True

    def backoff_s(self, failures: int) -> float:
        """Return the wait with jitter after `failures` failures in a row."""
        max_wait_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures - 1, 10))
        return max_wait_s * self.rng.uniform(0.5, 1.0)
