"""Event numbers are unique, every event is used, and docs/EVENTS.md matches the code."""

from pathlib import Path

from bench.catalogue import PAGE_PATH, build_page
from marjoramspool.events import Event


def test_numbers_are_unique():
    numbers = [event.value[0] for event in Event]
    assert len(set(numbers)) == len(numbers)


def test_event_page_is_up_to_date():
    assert PAGE_PATH.read_text() == build_page(), "run python -m bench.catalogue"


def test_every_event_is_used():
    root = Path(__file__).parent.parent
    source = "".join(p.read_text() for p in root.rglob("*.py") if "tests" not in p.parts)
    assert [e.name for e in Event if f"Event.{e.name}" not in source] == []
