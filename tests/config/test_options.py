"""Guards against options that accept invalid values or reject valid ones."""

import pytest

from jacinthcove.config.model import ServiceKind
from jacinthcove.config.options import (
    Address,
    AddressList,
    Boolean,
    Choice,
    Duration,
    Field,
    Fields,
    Float,
    Integer,
    ProblemReport,
    String,
    Timestamp,
)

VALID = [
    (Integer(), "12", 12),
    (Float(exclusive_minimum=0), 0.5, 0.5),
    (Boolean(), "true", True),
    (Choice(ServiceKind), "plain", ServiceKind.PLAIN),
    (Duration(), "250ms", 250),
    (Duration(), "1.5s", 1_500),
    (Address(), "[::1]:80", "[::1]:80"),
    (AddressList(), "10.0.0.1:1, 10.0.0.2:2", ("10.0.0.1:1", "10.0.0.2:2")),
    (Timestamp(), "2026-03-02T06:00:00Z", 1_772_431_200_000),
]
INVALID = [
    (String(), 3),
    (Integer(), True),
    (Integer(1, 5), 6),
    (Integer(), 1.5),
    (Float(exclusive_minimum=0), 0),
    (Float(), float("nan")),
    (Float(), True),
    (Boolean(), 1),
    (Choice(ServiceKind), "engin"),
    (Duration(), 3),
    (Duration(), "3"),
    (Duration(), "-3s"),
    (Duration(maximum_ms=1_000), "2s"),
    (Duration(), "0.5ms"),
    (Address(), "localhost:80"),
    (Address(), "10.0.0.1"),
    (Address(), "10.0.0.1:70000"),
    (Address(), "::1:80"),
    (AddressList(), "10.0.0.1:1,x"),
    (Timestamp(), "2026-03-02T06:00:00"),
    (Timestamp(), "soon"),
]


@pytest.mark.parametrize(("option", "raw", "value"), VALID)
def test_valid_value_is_accepted(option, raw, value):
    assert option.parse(raw).unwrap() == value


@pytest.mark.parametrize(("option", "raw"), INVALID)
def test_invalid_value_is_rejected(option, raw):
    report = ProblemReport(lambda path: "site.yml")
    assert option.read(raw, "a.b", report) is None
    assert str(report.errors[0]).startswith("error: site.yml: a.b: ")


def test_every_invalid_key_is_reported():
    fields = Fields(
        {"share": Field(Float(), required=True), "max": Field(Integer(), 5)},
        lambda path, report, values: values,
    )
    report = ProblemReport()
    assert fields.read({"shaer": 1, "max": "x"}, "", report) is None
    assert [problem.path for problem in report.errors] == ["shaer", "share", "max"]
    assert "did you mean 'share'?" in report.errors[0].reason
