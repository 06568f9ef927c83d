"""Entry point of the router on the users' platform, configured by a settings file."""

import os
import sys

from returns.result import Success

from jacinthcove.commands.program import EXIT_BAD_SETTINGS, run_until_signal
from jacinthcove.observe import logs
from jacinthcove.observe.output import NonBlockingOutput
from jacinthcove.platform.daemon import PlatformRouter
from jacinthcove.platform.settings import SETTINGS_FILE_VARIABLE
from jacinthcove.platform.settingsfile import SettingsFile


def main() -> int:
    """Run the program and return its exit code."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_FILE_VARIABLE} must name the settings file", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings_file = SettingsFile(path)
    result = settings_file.read()
    if not isinstance(result, Success):
        print(
            "\n".join(f"{path}: {problem}" for problem in result.failure()),
            file=sys.stderr,
        )
        return EXIT_BAD_SETTINGS
    settings = result.unwrap()
    logs.configure("jacinthcove-router", settings.id, "info", NonBlockingOutput())
    router = PlatformRouter(settings)
    settings_file.on_change = router.reload
    settings_file.start()
    try:
        return run_until_signal(router)
    finally:
        settings_file.close()
