"""Metrics and log lines have the format that collectors can parse."""

import io

import orjson
import structlog

from jacinthcove.observe import logs
from jacinthcove.observe.metrics import Metrics


def test_series_are_separated_by_labels_and_label_values_escaped():
    metrics = Metrics()
    metrics.counter("requests_total", "Requests.", workspace='a"b').add(2)
    metrics.counter("requests_total", workspace="c").add()
    metrics.gauge("open").read = lambda: 3
    metrics.histogram("wait_ms").observe(10)
    lines = metrics.render().splitlines()
    assert 'jacinthcove_requests_total{workspace="a\\"b"} 2' in lines
    assert 'jacinthcove_requests_total{workspace="c"} 1' in lines
    assert "jacinthcove_open 3" in lines
    assert "jacinthcove_wait_ms_count 1" in lines


def test_percentiles_have_two_digits_and_values_out_of_range_are_accepted():
    histogram = Metrics().histogram("wait_ms")
    assert histogram.quantile(0.5) == 0
    for value in range(1, 1_001):
        histogram.observe(value)
    assert abs(histogram.quantile(0.95) - 950) <= 0.01 * 950
    histogram.observe(-1)
    histogram.observe(1e12)


def test_log_lines_are_json_and_lines_below_the_level_are_omitted():
    stream = io.BytesIO()
    logs.configure("router", "r1", "info", stream)
    try:
        logs.get_logger(component="api").info("request_refused", code=210)
        logs.get_logger().debug("hidden")
    finally:
        structlog.reset_defaults()
    (line,) = stream.getvalue().splitlines()
    data = orjson.loads(line)
    expected = {"level": "info", "event": "request_refused", "program": "router", "id": "r1"}
    assert expected.items() <= data.items()
    assert data["time"].endswith("Z")
