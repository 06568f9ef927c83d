"""Reloads the settings file on SIGHUP and when its text changes without a signal."""

import signal
from collections.abc import Callable
from pathlib import Path

import gevent
import structlog
from returns.result import Failure, Result, Success

from jacinthcove.background import BackgroundTask
from jacinthcove.platform.settings import PlatformSettings, decode_settings

log = structlog.get_logger()

CHECK_PERIOD_S = 2.0


class SettingsFile:
    """Reads the settings file; `on_change` is called with each valid new version."""

    def __init__(self, path: str):
        self.path = Path(path)
        self.text = ""
        self.on_change: Callable[[PlatformSettings], None] = lambda settings: None
        self.task = BackgroundTask(self._watch)

    def read(self) -> Result[PlatformSettings, tuple[str, ...]]:
        """Return the settings, or all problems of the file."""
        try:
            self.text = self.path.read_text("utf-8")
        except OSError as error:
            return Failure((f"cannot be read: {error}",))
        return decode_settings(self.text)

    def start(self) -> None:
        """Reload on SIGHUP, and compare the text every `CHECK_PERIOD_S`."""
        gevent.signal_handler(signal.SIGHUP, self.reload, "SIGHUP")
        self.task.start()

    def close(self) -> None:
        """Stop checking the file."""
        self.task.close()

    def reload(self, cause: str) -> None:
        """Read the file and apply it; an invalid one is logged and ignored."""
        result = self.read()
        if isinstance(result, Success):
            log.info("settings_reloaded", cause=cause, outcome="applied")
            self.on_change(result.unwrap())
        else:
            log.error("settings_reloaded", cause=cause, outcome="kept", problems=result.failure())

    def _watch(self) -> None:
        while True:
            gevent.sleep(CHECK_PERIOD_S)
            try:
                changed = self.path.read_text("utf-8") != self.text
            except OSError as error:
                log.warning("settings_unreadable", reason=str(error))
                continue
            if changed:
                self.reload("changed file")
