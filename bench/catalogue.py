"""Write docs/EVENTS.md from the numbered events: python -m bench.catalogue."""

from pathlib import Path

from marjoramspool.events import Event

__all__ = ["PAGE_PATH", "build_page", "main"]

PAGE_PATH = Path(__file__).parent.parent / "docs" / "EVENTS.md"
PAGE_HEADER = """# Log events

Each line of the log holds a number, a name, its meaning and fields as key=value; on the platform it
is a JSON object with the name under `event` and the fields beside it. This page is
written by `python -m bench.catalogue`; a test compares it with the code.

| number | name | level | meaning |
|---|---|---|---|
"""


def build_page() -> str:
    """Return the page."""
    rows = [
        f"| E{number} | {event.name} | {level} | {meaning} |"
        for event in Event
        for number, level, meaning in [event.value]
    ]
    return PAGE_HEADER + "\n".join(rows) + "\n"


def main() -> None:
    """Write the page."""
    PAGE_PATH.write_text(build_page())


if __name__ == "__main__":
    main()
