"""What differs between a routing configuration and the version in force, without any key."""

from collections import Counter
from dataclasses import replace

from jacinthcove.config.document import difference_lines
from jacinthcove.config.schema import hash_key
from jacinthcove.gateway.model import RoutingConfig

# Enough of a key's hash to tell keys apart in a list.
SHOWN_HASH_CHARS = 12


def differences(in_force: RoutingConfig, draft: RoutingConfig) -> list[str]:
    """Return one line per changed path, except the version; keys appear as part of their hash."""
    return difference_lines(_comparable(in_force), _comparable(draft), ignored=("version",))


def check_version(in_force: RoutingConfig, draft: RoutingConfig) -> str:
    """Return why routers would ignore the draft because of its version, or an empty string."""
    if draft.version > in_force.version:
        return ""
    return f"{draft.version} is not above {in_force.version}, the version in force"


def key_counts(config: RoutingConfig) -> Counter[str]:
    """Return the number of keys of each workspace."""
    return Counter((config.workspace_by_key or {}).values())


def _comparable(config: RoutingConfig) -> RoutingConfig:
    """Return the configuration with the hashes of keys in place of the keys."""
    keys = config.workspace_by_key
    if keys is None:
        return config
    hashed = {hash_key(key)[:SHOWN_HASH_CHARS]: workspace for key, workspace in keys.items()}
    return replace(config, workspace_by_key=hashed)
