"""Generates the reference tables of the documentation from the declarations in code.

`python -m jacinthcove.reference docs` rewrites the tables between their markers.
"""

import re
import sys
from collections.abc import Callable
from pathlib import Path

from jacinthcove.codes import CODES
from jacinthcove.config.settings import ControllerSettings, RouterSettings, settings_table


def code_table() -> str:
    """Return the result codes as a Markdown table."""
    lines = ["| code | name | class | HTTP status | meaning |", "| --- | --- | --- | --- | --- |"]
    for code, info in CODES.items():
        result_class = info.result_class.value.replace("_", " ")
        lines.append(
            f"| {code.value} | `{code.name}` | {result_class} | {info.http_status} |"
            f" {info.meaning} |"
        )
    return "\n".join(lines)


TABLES: dict[str, Callable[[], str]] = {
    "codes": code_table,
    "router settings": lambda: settings_table(RouterSettings),
    "controller settings": lambda: settings_table(ControllerSettings),
}


def refresh_tables(text: str) -> str:
    """Return `text` with every table between markers regenerated."""
    for name, table in TABLES.items():
        begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
        block = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
        text = block.sub(f"{begin}\n{table()}\n{end}".replace("\\", r"\\"), text)
    return text


def main(directory: str) -> None:
    """Rewrite the marked tables of all Markdown pages in `directory`."""
    for page in Path(directory).glob("*.md"):
        page.write_text(refresh_tables(page.read_text("utf-8")), "utf-8")


if __name__ == "__main__":
    main(sys.argv[1])
