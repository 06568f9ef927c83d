"""The configuration and the VM list that are active on this router."""

from collections.abc import Callable

import structlog

from jacinthcove.config.document import decode
from jacinthcove.config.model import FleetConfig, Workspace
from jacinthcove.mesh.documents import CONFIG, VMS, Document, Documents
from jacinthcove.store.vms import VmList, decode_vms

log = structlog.get_logger()


class AppliedState:
    """Decodes each new document once and passes it to the registered listeners."""

    def __init__(self) -> None:
        self.config = FleetConfig()
        self.vms = VmList()
        self.workspace_by_key_hash: dict[str, Workspace] = {}
        self.config_listeners: list[Callable[[FleetConfig], None]] = []
        self.vms_listeners: list[Callable[[VmList], None]] = []

    def follow_documents(self, documents: Documents) -> None:
        """Apply the current documents, and newer ones as they arrive."""
        for kind, apply in ((CONFIG, self.apply_config), (VMS, self.apply_vms)):
            current = documents.get(kind)
            if current is not None:
                apply(current)
            documents.subscribe(kind, apply)

    def apply_config(self, document: Document) -> None:
        """Activate a configuration unless the active one has the same or a newer revision."""
        if document.revision <= self.config.revision:
            return
        config = decode(document.body)
        self.config = config
        self.workspace_by_key_hash = {w.key_hash: w for w in config.workspaces.values()}
        for listener in self.config_listeners:
            listener(config)
        log.info("configuration_applied", revision=config.revision)

    def apply_vms(self, document: Document) -> None:
        """Activate a VM list unless the active one has the same or a newer revision."""
        if document.revision <= self.vms.revision:
            return
        self.vms = decode_vms(document.body)
        for listener in self.vms_listeners:
            listener(self.vms)
