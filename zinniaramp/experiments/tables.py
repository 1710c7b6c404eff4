"""Tables and files of measurements."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["Table", "read_rows", "render", "write_table"]

MEASUREMENTS = Path(__file__).resolve().parents[2] / "measurements"
"""Directory of the repository that holds the latest table of each experiment."""


@dataclass(slots=True, kw_only=True)
class Table:
    """One experiment's result.

    Parameters
    ----------
    name : str
        Name of the experiment.
    command : str
        Command that made it.
    headings : list of str
        One for each column, with the unit.
    rows : list of list
        Numbers and texts.
    notes : list of str
        What the numbers mean, and conclusions that the experiment draws.
    """

    name: str
    command: str
    headings: list[str]
    rows: list[list]
    notes: list[str]


def _cell(value) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def render(table: Table) -> str:
    """Return a table as Markdown."""
    lines = [f"# {table.name}", "", f"`{table.command}`", ""]
    lines.append(f"| {' | '.join(table.headings)} |")
    lines.append(f"|{' --- |' * len(table.headings)}")
    lines += [f"| {' | '.join(_cell(value) for value in row)} |" for row in table.rows]
    lines += ["", *(f"- {note}" for note in table.notes)]
    return "\n".join(lines) + "\n"


def read_rows(name: str) -> list[list]:
    """Return the rows of an experiment's latest table, or none."""
    path = MEASUREMENTS / f"{name}.json"
    return json.loads(path.read_text())["rows"] if path.exists() else []


def write_table(table: Table) -> None:
    """Print a table and write it, and its numbers, under ``measurements/``."""
    text = render(table)
    print(text)
    (MEASUREMENTS / f"{table.name}.md").write_text(text)
    fields = json.dumps(asdict(table), indent=2)
    (MEASUREMENTS / f"{table.name}.json").write_text(f"{fields}\n")
