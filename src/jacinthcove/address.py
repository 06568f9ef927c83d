"""Addresses of the form `ip:port`."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `ip:port`; an IPv6 host may stand in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
