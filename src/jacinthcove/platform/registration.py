"""What a router writes about itself in the store, and the key of the mesh."""

import secrets
from typing import Any

import structlog

from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.mesh.peers import Member
from jacinthcove.platform.names import ROUTERS_KIND, SECRETS_KIND
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.store.kinds import KindObject

log = structlog.get_logger()

MESH_SECRET = "mesh"


def mesh_address(registration: KindObject) -> str:
    """Return the mesh address of a router, an empty string if its registration is malformed."""
    spec = registration.spec
    address = spec.get("mesh") if isinstance(spec, dict) else None
    return address if isinstance(address, str) else ""


def _holds_key(spec: Any) -> bool:
    key = spec.get("key") if isinstance(spec, dict) else None
    return isinstance(key, str) and key != ""


class Registration:
    """Registers this router; all methods raise `StoreUnavailable`, and the caller tries again."""

    def __init__(self, store_client: PlatformStoreClient, me: Member):
        self.store_client = store_client
        self.me = me
        self.spec = {"mesh": me.mesh_address, "domain": me.failure_domain}
        # The key of the mesh, None before it is loaded.
        self.key: str | None = None
        # Whether this process may have created the registration; the others may not count it yet.
        self.may_be_first_start = False

    def load_key(self) -> str:
        """Return the mesh key of the fleet, which the first router creates."""
        new = {"key": secrets.token_hex(16)}
        stored = self._get_or_create(SECRETS_KIND, MESH_SECRET, new)
        spec = stored.spec if _holds_key(stored.spec) else new
        self._correct(SECRETS_KIND, stored, spec)
        self.key = spec["key"]
        return self.key

    def register(self) -> list[KindObject]:
        """Register this router, and return the registrations of all routers.

        The list is read after the write, so that of two new routers at least one sees the other. It
        also shows the registration that a restarted router has already.
        """
        try:
            is_new = self.store_client.create(ROUTERS_KIND, self.me.id, self.spec)
        except StoreUnavailable:
            self.may_be_first_start = True
            raise
        self.may_be_first_start = self.may_be_first_start or is_new
        registered = list(self.store_client.list_all(ROUTERS_KIND).objects)
        if not is_new:
            for item in registered:
                if item.name == self.me.id:
                    self._correct(ROUTERS_KIND, item, self.spec)
        return registered

    def restore(self, includes_key: bool) -> None:
        """Write again what an older copy of the store lacks."""
        if includes_key and self.key is not None:
            spec = {"key": self.key}
            stored = self._get_or_create(SECRETS_KIND, MESH_SECRET, spec)
            self._correct(SECRETS_KIND, stored, spec)
        stored = self._get_or_create(ROUTERS_KIND, self.me.id, self.spec)
        self._correct(ROUTERS_KIND, stored, self.spec)

    def _get_or_create(self, kind: str, name: str, spec: dict[str, str]) -> KindObject:
        """Read an object that mostly exists, which takes one call instead of two."""
        stored = self.store_client.get(kind, name)
        return stored if stored is not None else self.store_client.ensure(kind, name, spec)

    def _correct(self, kind: str, stored: KindObject, spec: dict[str, str]) -> None:
        if stored.spec == spec:
            return
        log.warning("stored_object_corrected", kind=kind, name=stored.name)
        try:
            self.store_client.replace(kind, stored.name, spec, stored.revision)
        except Conflict:
            raise StoreUnavailable(f"another writer changed {kind}/{stored.name}") from None
