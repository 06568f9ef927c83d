"""Apply changes in the store to the gateway: one follower for each kind of object."""

import structlog

from jacinthcove.gateway.activeconfig import ActiveConfig
from jacinthcove.gateway.drains import DrainedDomains
from jacinthcove.gateway.rollouts import Rollout, Rollouts, RolloutState
from jacinthcove.gateway.targetrecord import ListedTarget, TargetRecord
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.platform.decode import (
    decode_config,
    decode_rollout,
    decode_target,
    encode_rollout_status,
)
from jacinthcove.platform.names import ROLLOUTS_KIND
from jacinthcove.platform.storeclient import PlatformStoreClient
from jacinthcove.store.kinds import Change, Gap, KindObject, Listing

log = structlog.get_logger()

CONFIG_NAME = "main"


class ConfigFollower:
    """Applies the configuration and records when it was last confirmed; ignores a malformed one."""

    def __init__(self, active_config: ActiveConfig):
        self.active_config = active_config

    def on_list(self, listing: Listing, gap: Gap) -> None:
        """Apply the configuration if it is among the listed objects."""
        del gap
        for item in listing.objects:
            self._apply(item)

    def on_change(self, change: Change, in_outage: bool) -> None:
        """Apply one change."""
        del in_outage
        if not change.deleted:
            self._apply(change.object)

    def on_confirmed(self, known_at: int) -> None:
        """Record that the configuration was the newest at `known_at` (boot clock ms)."""
        if self.active_config.table is not None:
            self.active_config.confirm(known_at)

    def _apply(self, item: KindObject) -> None:
        if item.name != CONFIG_NAME:
            return
        try:
            config = decode_config(item.spec)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.error("configuration_malformed", revision=item.revision, reason=repr(error))
            return
        self.active_config.apply(config, item.revision)


class TargetFollower:
    """Keeps the target registry up to date; a malformed entry is logged and counts as deleted."""

    def __init__(self, registry: TargetRegistry):
        self.registry = registry

    def on_list(self, listing: Listing, gap: Gap) -> None:
        """Replace the known state by the listed objects."""
        entries = [
            ListedTarget(record, item.revision)
            for item in listing.objects
            if (record := self._decode(item))
        ]
        self.registry.replace_all(entries, gap)

    def on_change(self, change: Change, in_outage: bool) -> None:
        """Apply one change."""
        record = None if change.deleted else self._decode(change.object)
        if record is not None:
            self.registry.put(record, change.object.revision)
        else:
            self.registry.delete(change.object.name, in_outage and change.deleted)

    def on_confirmed(self, known_at: int) -> None:
        """Record when all entries were current; drop targets whose grace period is over."""
        self.registry.drained.returns.confirm(known_at)
        self.registry.last_word.record(known_at)
        self.registry.expire()

    def _decode(self, item: KindObject) -> TargetRecord | None:
        try:
            return decode_target(item.name, item.spec)
        except ValueError as error:
            log.warning("target_entry_malformed", target=item.name, reason=str(error))
            return None


class DrainFollower:
    """Keeps the drained failure domains; each object names one."""

    def __init__(self, drained: DrainedDomains):
        self.drained = drained

    def on_list(self, listing: Listing, gap: Gap) -> None:
        """Replace the known state by the listed objects."""
        self.drained.replace(frozenset(item.name for item in listing.objects), gap)

    def on_change(self, change: Change, in_outage: bool) -> None:
        """Apply one change."""
        del in_outage
        if change.deleted:
            self.drained.remove(change.object.name)
        else:
            self.drained.add(change.object.name)

    def on_confirmed(self, known_at: int) -> None:
        """Do nothing: no decision depends on the age of this state."""


class RolloutFollower:
    """Keeps the requested version rollouts; a malformed one is logged and counts as deleted."""

    def __init__(self, rollouts: Rollouts):
        self.rollouts = rollouts

    def on_list(self, listing: Listing, gap: Gap) -> None:
        """Replace the known state by the listed objects."""
        decoded = (self._decode(item) for item in listing.objects)
        self.rollouts.replace_all([item for item in decoded if item is not None], gap)

    def on_change(self, change: Change, in_outage: bool) -> None:
        """Apply one change."""
        del in_outage
        rollout = None if change.deleted else self._decode(change.object)
        if rollout is not None:
            self.rollouts.put(rollout)
        else:
            self.rollouts.delete(change.object.name)

    def on_confirmed(self, known_at: int) -> None:
        """Do nothing: no decision depends on the age of this state."""

    def _decode(self, item: KindObject) -> Rollout | None:
        try:
            return decode_rollout(item)
        except ValueError as error:
            log.warning("rollout_malformed", name=item.name, reason=str(error))
            return None


class StoredRollouts:
    """Writes the state of rollouts to the store; implements `RolloutStore`."""

    def __init__(self, store_client: PlatformStoreClient):
        self.store_client = store_client

    def set_state(self, rollout: Rollout, state: RolloutState, share: float) -> None:
        """Write a state if the revision is unchanged; raises `Conflict` or `StoreUnavailable`."""
        status = encode_rollout_status(rollout, state, share)
        self.store_client.replace_status(ROLLOUTS_KIND, rollout.name, status, rollout.revision)
