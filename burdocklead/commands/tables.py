"""Plain-text tables for terminals."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

COLUMN_GAP = '  '
BOLD = '\x1b[1m'
RESET = '\x1b[0m'
EMPTY_CELL = '-'


@dataclass(frozen=True, slots=True)
class Table:
    """Rows of text below their column names.

    Attributes:
        title: Line above the table, empty for none.
        columns: Column names.
        rows: Cells of each row, one for each column.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


def clean_text(text: str) -> str:
    """Return text with control characters replaced.

    Names and reasons come from other processes and must not inject
    terminal escape sequences.
    """
    return ''.join(
        character if character.isprintable() else '\N{REPLACEMENT CHARACTER}'
        for character in text
    )


def render_table(table: Table, *, styled: bool) -> str:
    """Return the table as text, each line with a newline."""
    return ''.join(f'{line}\n' for line in _table_lines(table, styled=styled))


def _table_lines(table: Table, *, styled: bool) -> Iterator[str]:
    if table.title:
        yield table.title
    rows = [
        tuple(clean_text(cell) or EMPTY_CELL for cell in row)
        for row in table.rows
    ]
    widths = [
        max(map(len, column))
        for column in zip(table.columns, *rows, strict=True)
    ]
    header = _line_of(table.columns, widths)
    yield f'{BOLD}{header}{RESET}' if styled else header
    for row in rows:
        yield _line_of(row, widths)


def _line_of(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return COLUMN_GAP.join(padded).rstrip()
