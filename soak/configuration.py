"""The entries of the routing configuration that a run writes to the store."""

from typing import Any

HOST = "desk.example"


def route_entry(
    name: str, kind: str, resumable: bool, service: str, timeout_ms: int
) -> dict[str, Any]:
    """Return the entry of a route whose paths begin with its name."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "can_resume": resumable,
        "gap_aim_ms": 400,
    }


def service_entries(cold_s: float, cold_per_s: float) -> list[dict[str, Any]]:
    """Return the entries of the engines and the plain service."""
    engine = {"slots": 16, "kv_tokens": 100_000}
    return [
        {"name": "models", "cold_s": cold_s, "cold_per_s": cold_per_s, "engine": engine},
        {"name": "ledger", "cold_s": cold_s, "cold_per_s": cold_per_s},
    ]
