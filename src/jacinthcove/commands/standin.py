"""The program `jacinthcove-standin`: simulated dependencies for tests and the demo."""

import os
import signal
from collections.abc import Sequence
from dataclasses import MISSING, Field, fields, replace
from typing import Any, TypeVar

import gevent
import gevent.event
import orjson
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from jacinthcove.standins.batch import EngineSettings
from jacinthcove.standins.engine import Engine
from jacinthcove.standins.objectapi import ObjectApi, ObjectApiSettings
from jacinthcove.standins.server import Standin
from jacinthcove.standins.service import Service, ServiceSettings

DEFAULT_LISTEN = "127.0.0.1:0"
REPEATABLE = ("id", "failure_domain", "version")
Settings = TypeVar("Settings", ObjectApiSettings, EngineSettings, ServiceSettings)


def run_until_terminated(standins: Sequence[Standin]) -> None:
    """Start the stand-ins, print their addresses as a JSON line, and close them on a signal."""
    stopped = gevent.event.Event()
    handlers = [gevent.signal_handler(s, stopped.set) for s in (signal.SIGTERM, signal.SIGINT)]
    for standin in standins:
        standin.start()
    addresses = [standin.address for standin in standins]
    print(orjson.dumps({"event": "started", "addresses": addresses}).decode(), flush=True)
    stopped.wait()
    for standin in standins:
        standin.close()
    for handler in handlers:
        handler.cancel()


def setting_options(settings: type) -> list[Option]:
    """Return one flag per field of a settings dataclass, and `--listen`."""
    listen = option("listen", None, "ip:port; repeatable for several servers", False, multiple=True)
    return [listen, *(_option(item) for item in fields(settings))]


def read_settings(command: Command, settings: type[Settings]) -> list[tuple[str, Settings]]:
    """Return the listen addresses with their settings; raises `ValueError` on a bad value.

    Flags win over `JACINTHCOVE_*` variables. Several servers get the repeated ids, failure
    domains and versions in order; one id for all of them gets a number appended.
    """
    listens = _values(command, "listen") or [DEFAULT_LISTEN]
    base_id = next((item.default for item in fields(settings) if item.name == "id"), None)
    base: dict[str, Any] = {}
    repeated: dict[str, list[str]] = {}
    for item in fields(settings):
        values = _values(command, item.name)
        if values and item.name in REPEATABLE:
            if len(values) not in (1, len(listens)):
                raise ValueError(f"--{_flag(item.name)} needs one value or one per --listen")
            repeated[item.name] = values
        elif values:
            base[item.name] = _parse(item, values[0])
    result = []
    for number, listen in enumerate(listens):
        own = {name: values[number % len(values)] for name, values in repeated.items()}
        current = settings(**{**base, **own})
        current = replace(current, seed=current.seed + number)
        if base_id is not None and len(listens) > 1 and len(repeated.get("id", ())) < 2:
            numbered: Any = {"id": f"{own.get('id', base_id)}-{number + 1}"}
            current = replace(current, **numbered)
        result.append((listen, current))
    return result


def _flag(name: str) -> str:
    # cleo reserves --version for the program itself.
    return "target-version" if name == "version" else name.replace("_", "-")


def _option(item: Field) -> Option:
    default = "" if item.default is MISSING else f" (default {item.default!r})"
    text = f"{item.name.replace('_', ' ')}{default}"
    return option(_flag(item.name), None, text, False, multiple=item.name in REPEATABLE)


def _values(command: Command, name: str) -> list[str]:
    given = command.option(_flag(name))
    if given:
        return list(given) if isinstance(given, list) else [given]
    variable = os.environ.get("JACINTHCOVE_" + _flag(name).replace("-", "_").upper(), "")
    return [part.strip() for part in variable.split(",") if part.strip()]


def _parse(item: Field, text: str) -> Any:
    if item.type is bool:
        if text not in ("true", "false"):
            raise ValueError(f"--{_flag(item.name)}: expected true or false, not {text!r}")
        return text == "true"
    try:
        return item.type(text)  # type: ignore[operator]
    except ValueError as error:
        raise ValueError(f"--{_flag(item.name)}: {error}") from error


class _StandinCommand(Command):
    settings: type
    standin: type

    def handle(self) -> int:
        try:
            chosen = read_settings(self, self.settings)
        except ValueError as error:
            self.line_error(str(error), style="error")
            return 2
        run_until_terminated([self.standin(listen, settings) for listen, settings in chosen])
        return 0


class ObjectApiCommand(_StandinCommand):
    """Serve the object API and the VM list."""

    name = "object-api"
    description = "Serve the platform's object API and VM list."
    settings = ObjectApiSettings
    standin = ObjectApi
    options = setting_options(ObjectApiSettings)


class EngineCommand(_StandinCommand):
    """Serve one or more model engines."""

    name = "engine"
    description = "Serve one or more model engines."
    settings = EngineSettings
    standin = Engine
    options = setting_options(EngineSettings)


class ServiceCommand(_StandinCommand):
    """Serve one or more plain services."""

    name = "service"
    description = "Serve one or more plain services."
    settings = ServiceSettings
    standin = Service
    options = setting_options(ServiceSettings)


def main() -> None:
    """Run the program."""
    application = Application("jacinthcove-standin")
    for command in (ObjectApiCommand(), EngineCommand(), ServiceCommand()):
        application.add(command)
    application.run()


if __name__ == "__main__":
    main()
