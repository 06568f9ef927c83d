"""Hooks: one fleet per feature, repaired after each scenario and closed in any case."""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from features.support.site import ENGINE_FLAGS, SHORT_QUEUES, SLOW_WARMTH_FLAGS, Site  # noqa: E402
from testbed.fleet import FleetOptions  # noqa: E402

FLEETS = {
    "fleet": FleetOptions(engine_flags=ENGINE_FLAGS),
    "fleet_with_short_queues": FleetOptions(
        engine_flags=ENGINE_FLAGS, config={"workspaces": SHORT_QUEUES}
    ),
    "fleet_of_slowly_warming_engines": FleetOptions(engine_flags=SLOW_WARMTH_FLAGS),
    "fleet_with_two_controllers": FleetOptions(
        engine_flags=ENGINE_FLAGS,
        controllers=2,
        controller_flags=("--lease-ttl", "3s", "--order-timeout", "1s"),
    ),
}


def before_feature(context, feature):
    context.site = None
    for tag in feature.tags:
        if tag in FLEETS:
            context.site = Site(FLEETS[tag])
            context.site.start()


def before_scenario(context, scenario):
    context.traffic = None


def after_step(context, step):
    # The progress format names a failing scenario, but not why its step failed.
    if step.status == "failed":
        print(f"\n{step.location}: {step.name}: {step.exception!r}", file=sys.__stderr__)


def after_scenario(context, scenario):
    if context.traffic is not None:
        context.traffic.stop()
    if context.site is not None:
        context.site.repair()


def after_feature(context, feature):
    if context.site is not None:
        context.site.close()
