"""Generate the reference pages from the sections and events declared in the code."""

import importlib
import pkgutil
import sys
from dataclasses import dataclass
from pathlib import Path

import zinniaramp
from zinniaramp.declarations import SECTION_CLASSES, Defaults
from zinniaramp.ini import list_keys
from zinniaramp.observability import declared_events
from zinniaramp.settings import SECTIONS

DOCS = Path(__file__).resolve().parent.parent / "docs"

NOTE = "<!-- Written by scripts/make_reference.py; change the code and run it. -->"


@dataclass(slots=True, kw_only=True, frozen=True)
class Page:
    """Path and text of a generated page."""

    path: Path
    text: str


def make_table(headings, rows):
    """Return a Markdown table and escape the pipe characters in cells."""
    all_rows = [headings, ["---"] * len(headings), *rows]
    escaped_rows = ([cell.replace("|", "\\|") for cell in line] for line in all_rows)
    return "\n".join(f"| {' | '.join(line)} |" for line in escaped_rows)


def render_section(section_class):
    """Return the Markdown of one section: its heading, purpose and key table."""
    heading, _, purpose = section_class.__doc__.partition(":")
    rows = [
        [f"`{key.name}`", key.description, key.unit, key.default, key.bounds]
        for key in list_keys(section_class)
    ]
    keys = make_table(["key", "meaning", "unit", "default", "bounds"], rows)
    title = heading.strip("` \n")
    purpose = " ".join(purpose.split())
    return f"## {title}\n\n{purpose[:1].upper()}{purpose[1:]}\n\n{keys}"


def make_settings_page():
    """Return the text of the settings reference."""
    intro = (
        "A settings file is INI; `zinniarampd FILE` reads it once, at start, and "
        "`zinniaramp check FILE` checks it. Durations are in seconds. Bounds are "
        "`ge` at least, `gt` above, `le` at most, `lt` below."
    )
    parts = [render_section(one) for one in SECTIONS.values()]
    return "\n\n".join([NOTE, "# Settings", intro, *parts]) + "\n"


def make_declarations_page():
    """Return the text of the declarations reference."""
    intro = (
        "Declarations are INI, published as sections by the operators; "
        "`zinniaramp check FILE` and `zinniaramp publish-preview OLD NEW` check them "
        "beforehand. Durations are in seconds. Bounds are `ge` at least, `gt` above, "
        "`le` at most, `lt` below. A default of `None` means that another key "
        "decides, as the key's meaning says."
    )
    classes = [Defaults, *SECTION_CLASSES.values()]
    parts = [render_section(one) for one in classes]
    return "\n\n".join([NOTE, "# Declarations", intro, *parts]) + "\n"


def import_all_modules():
    """Import every module of the package, which declares all events."""
    for module in pkgutil.walk_packages(zinniaramp.__path__, "zinniaramp."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def make_events_page():
    """Return the text of the event catalogue."""
    import_all_modules()
    intro = (
        "Each line of a process's log is a JSON object with `time`, `level`, "
        "`event` (the number), `name` and the event's fields."
    )
    rows = [
        [
            str(event.number),
            event.name,
            event.level,
            event.meaning,
            ", ".join(f"`{name}`" for name in event.fields),
        ]
        for event in declared_events()
    ]
    catalogue = make_table(["number", "name", "level", "meaning", "fields"], rows)
    return "\n\n".join([NOTE, "# Events", intro, catalogue]) + "\n"


def make_pages():
    """Return all generated pages."""
    return [
        Page(path=DOCS / "reference" / "settings.md", text=make_settings_page()),
        Page(
            path=DOCS / "reference" / "declarations.md", text=make_declarations_page()
        ),
        Page(path=DOCS / "EVENTS.md", text=make_events_page()),
    ]


def main():
    """Write the pages that changed; with ``--check`` only list the outdated ones."""
    pages = make_pages()
    stale = [
        page
        for page in pages
        if not page.path.exists() or page.path.read_text() != page.text
    ]
    if "--check" in sys.argv[1:]:
        for page in stale:
            print(f"{page.path.relative_to(DOCS.parent)} is out of date")
        return 1 if stale else 0
    for page in stale:
        page.path.parent.mkdir(parents=True, exist_ok=True)
        page.path.write_text(page.text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
