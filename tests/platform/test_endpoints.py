"""The endpoints for readiness, directory and metrics."""

from jacinthcove.observe.metrics import Metrics
from jacinthcove.platform.endpoints import Endpoints
from jacinthcove.platform.names import DIRECTORY_PATH


def test_directory_reads_failure_domain_of_caller_from_query():
    asked = []

    def addresses(domain):
        asked.append(domain)
        return ["10.0.0.1:80"]

    endpoints = Endpoints(lambda: True, addresses, Metrics(), 2_000)
    for query in ("name=desk.example&region=r&zone=qc-east-b", ""):
        environ = {"PATH_INFO": DIRECTORY_PATH, "QUERY_STRING": query}
        endpoints(environ, lambda status, headers: None)
    assert asked == ["qc-east-b", ""]
