"""Guards against overload of a restarted target before its load report shows that it is cold."""

from jacinthcove.clock import ManualClock
from jacinthcove.codes import ResultCode
from jacinthcove.config.model import Limits
from jacinthcove.scheduling.ticket import Usage
from jacinthcove.targets.state import TargetState
from jacinthcove.targets.table import Pool, Target


def test_broken_stream_resets_the_target_to_the_cold_limit():
    target = Target("t", Pool("draft", "v1", "a"), "127.0.0.1:1")
    state = TargetState(target, Limits(cold=2, max=12), ManualClock())
    state.limit.value = 9.0
    state.affinity.add_prefix("prefix")
    before = Usage(5.0, first_token_ms=10, token_ms_sum=40, tokens=5)
    state.on_usage(before, Usage(5.0, ended=True, code=ResultCode.STREAM_BROKEN, tokens=5))
    assert state.limit.value == 2.0
    assert not state.affinity.probably_caches("prefix")
