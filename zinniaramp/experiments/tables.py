"""Result tables of experiments and the files that hold them."""

import json
from dataclasses import asdict, dataclass
from pathlib import Path

__all__ = ["Table", "read_rows", "render", "write_table"]

MEASUREMENTS = Path(__file__).resolve().parents[2] / "measurements"
"""Directory in the repository with the latest table of each experiment."""


@dataclass(slots=True, kw_only=True)
class Table:
    """Result of one experiment.

    Parameters
    ----------
    name : str
        Name of the experiment.
    command : str
        Command line that produces the table.
    headings : list of str
        Heading of each column, with its unit.
    rows : list of list
        Cells of each row, numbers or text.
    notes : list of str
        Explanations of the numbers, and conclusions.
    """

    name: str
    command: str
    headings: list[str]
    rows: list[list]
    notes: list[str]


def _format_cell(value) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def render(table: Table) -> str:
    """Return a table as Markdown."""
    lines = [f"# {table.name}", "", f"`{table.command}`", ""]
    lines.append(f"| {' | '.join(table.headings)} |")
    lines.append(f"|{' --- |' * len(table.headings)}")
    lines += [
        f"| {' | '.join(_format_cell(value) for value in row)} |" for row in table.rows
    ]
    lines += ["", *(f"- {note}" for note in table.notes)]
    return "\n".join(lines) + "\n"


def read_rows(name: str) -> list[list]:
    """Return the rows of the latest table of an experiment; empty without a file."""
    path = MEASUREMENTS / f"{name}.json"
    return json.loads(path.read_text())["rows"] if path.exists() else []


def write_table(table: Table) -> None:
    """Print a table and write it to ``measurements/`` as Markdown and as JSON."""
    text = render(table)
    print(text)
    (MEASUREMENTS / f"{table.name}.md").write_text(text)
    fields = json.dumps(asdict(table), indent=2)
    (MEASUREMENTS / f"{table.name}.json").write_text(f"{fields}\n")
