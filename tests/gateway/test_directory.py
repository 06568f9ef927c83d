"""The routers that the directory returns to a caller."""

from jacinthcove.gateway.directory import BUSY_MIN_REQUESTS, Candidate, routers_for


def routers(open_by_domain=None, **counts):
    open_by_domain = open_by_domain or {}
    return [
        Candidate(f"{domain}{number}", f"{domain}{number}:80", domain, open_by_domain.get(domain))
        for domain, count in counts.items()
        for number in range(count)
    ]


def domains_for(domain, candidates):
    return {item.failure_domain for item in routers_for(domain, candidates)}


def test_callers_get_the_routers_of_their_failure_domain():
    assert domains_for("b", routers(a=3, b=2, c=2)) == {"b"}


def test_a_single_router_does_not_serve_its_failure_domain_alone():
    assert domains_for("b", routers(a=3, b=1, c=3)) == {"a", "b", "c"}


def test_callers_of_a_lost_or_unknown_failure_domain_get_all_routers():
    assert domains_for("b", routers(a=3, c=3)) == {"a", "c"}
    assert domains_for("", routers(a=3, c=3)) == {"a", "c"}


def test_callers_of_a_failure_domain_with_few_routers_get_all_routers():
    assert domains_for("b", routers(a=40, b=20, c=40)) == {"b"}
    assert domains_for("b", routers(a=40, b=10, c=40)) == {"a", "b", "c"}


def test_callers_of_an_overloaded_failure_domain_get_all_routers():
    calm = {"a": 20, "b": BUSY_MIN_REQUESTS, "c": 20}
    assert domains_for("b", routers(calm, a=3, b=3, c=3)) == {"b"}
    busy = calm | {"b": 4 * BUSY_MIN_REQUESTS}
    assert domains_for("b", routers(busy, a=3, b=3, c=3)) == {"a", "b", "c"}


def test_a_high_but_even_load_keeps_callers_in_their_failure_domain():
    high = {"a": 900, "b": 950, "c": 900}
    assert domains_for("b", routers(high, a=3, b=3, c=3)) == {"b"}


def test_an_unknown_load_counts_as_zero():
    assert domains_for("b", routers(a=2, b=2)) == {"b"}
