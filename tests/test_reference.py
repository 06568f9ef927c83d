"""Guards against documentation tables that differ from the code."""

from pathlib import Path

import pytest

from jacinthcove.reference import TABLES, refresh_tables

DOCS = Path(__file__).parent.parent / "docs"
PAGES = ("result-codes.md", "OPERATIONS.md")


@pytest.mark.parametrize("page", PAGES)
def test_generated_tables_match_the_code(page):
    text = (DOCS / page).read_text("utf-8")
    assert refresh_tables(text) == text, "run `python -m jacinthcove.reference docs`"


def test_every_table_is_on_a_page():
    text = "".join((DOCS / page).read_text("utf-8") for page in PAGES)
    assert [name for name in TABLES if f"<!-- begin {name} -->" not in text] == []
