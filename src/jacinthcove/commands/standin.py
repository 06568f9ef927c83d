"""The program `jacinthcove-standin`: simulated services for tests and demos."""

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
REPEATABLE_FIELDS = ("id", "failure_domain", "version")
Settings = TypeVar("Settings", ObjectApiSettings, EngineSettings, ServiceSettings)


def run_until_terminated(standins: Sequence[Standin]) -> None:
    """Start the stand-ins, print their addresses as a JSON line, and close them on a signal."""
    stop_requested = gevent.event.Event()
    handlers = [
        gevent.signal_handler(s, stop_requested.set) for s in (signal.SIGTERM, signal.SIGINT)
    ]
    for standin in standins:
        standin.start()
    addresses = [standin.address for standin in standins]
    print(orjson.dumps({"event": "started", "addresses": addresses}).decode(), flush=True)
    stop_requested.wait()
    for standin in standins:
        standin.close()
    for handler in handlers:
        handler.cancel()


def options_of_settings(settings: type) -> list[Option]:
    """Return `--listen` and one flag for each field of a settings dataclass."""
    listen = option("listen", None, "ip:port; repeatable for several servers", False, multiple=True)
    return [listen, *(_make_option(item) for item in fields(settings))]


def read_settings(command: Command, settings: type[Settings]) -> list[tuple[str, Settings]]:
    """Return each listen address with its settings; raises `ValueError` for an invalid value.

    Flags take precedence over `JACINTHCOVE_*` variables. Several servers get the repeated ids,
    failure domains and versions in order. A single id for several servers gets a number appended.
    """
    listen_addresses = _option_values(command, "listen") or [DEFAULT_LISTEN]
    base_id = next((item.default for item in fields(settings) if item.name == "id"), None)
    common_values: dict[str, Any] = {}
    repeated_values: dict[str, list[str]] = {}
    for item in fields(settings):
        values = _option_values(command, item.name)
        if values and item.name in REPEATABLE_FIELDS:
            if len(values) not in (1, len(listen_addresses)):
                raise ValueError(f"--{_flag_name(item.name)} needs one value or one per --listen")
            repeated_values[item.name] = values
        elif values:
            common_values[item.name] = _parse_value(item, values[0])
    result = []
    for number, listen in enumerate(listen_addresses):
        server_values = {
            name: values[number % len(values)] for name, values in repeated_values.items()
        }
        server_settings = settings(**{**common_values, **server_values})
        server_settings = replace(server_settings, seed=server_settings.seed + number)
        if (
            base_id is not None
            and len(listen_addresses) > 1
            and len(repeated_values.get("id", ())) < 2
        ):
            numbered: Any = {"id": f"{server_values.get('id', base_id)}-{number + 1}"}
            server_settings = replace(server_settings, **numbered)
        result.append((listen, server_settings))
    return result


def _flag_name(name: str) -> str:
    # cleo reserves --version for the program itself.
    return "target-version" if name == "version" else name.replace("_", "-")


def _make_option(item: Field) -> Option:
    default = "" if item.default is MISSING else f" (default {item.default!r})"
    text = f"{item.name.replace('_', ' ')}{default}"
    return option(_flag_name(item.name), None, text, False, multiple=item.name in REPEATABLE_FIELDS)


def _option_values(command: Command, name: str) -> list[str]:
    given = command.option(_flag_name(name))
    if given:
        return list(given) if isinstance(given, list) else [given]
    variable_value = os.environ.get("JACINTHCOVE_" + _flag_name(name).replace("-", "_").upper(), "")
    return [part.strip() for part in variable_value.split(",") if part.strip()]


def _parse_value(item: Field, text: str) -> Any:
    if item.type is bool:
        if text not in ("true", "false"):
            raise ValueError(f"--{_flag_name(item.name)}: expected true or false, not {text!r}")
        return text == "true"
    try:
        return item.type(text)  # type: ignore[operator]
    except ValueError as error:
        raise ValueError(f"--{_flag_name(item.name)}: {error}") from error


class _StandinCommand(Command):
    settings: type
    standin: type

    def handle(self) -> int:
        try:
            servers = read_settings(self, self.settings)
        except ValueError as error:
            self.line_error(str(error), style="error")
            return 2
        run_until_terminated([self.standin(listen, settings) for listen, settings in servers])
        return 0


class ObjectApiCommand(_StandinCommand):
    """Serve the object API and the VM list."""

    name = "object-api"
    description = "Serve the platform's object API and VM list."
    settings = ObjectApiSettings
    standin = ObjectApi
    options = options_of_settings(ObjectApiSettings)


class EngineCommand(_StandinCommand):
    """Serve one or more model engines."""

    name = "engine"
    description = "Serve one or more model engines."
    settings = EngineSettings
    standin = Engine
    options = options_of_settings(EngineSettings)


class ServiceCommand(_StandinCommand):
    """Serve one or more plain services."""

    name = "service"
    description = "Serve one or more plain services."
    settings = ServiceSettings
    standin = Service
    options = options_of_settings(ServiceSettings)


def main() -> None:
    """Run the command line; it exits the process."""
    application = Application("jacinthcove-standin")
    for command in (ObjectApiCommand(), EngineCommand(), ServiceCommand()):
        application.add(command)
    application.run()


if __name__ == "__main__":
    main()
