"""Reader of INI files that reports all errors at once, each with a remedy."""

import configparser
import ipaddress
from collections.abc import Callable, Iterator
from dataclasses import dataclass

__all__ = ["Diagnostic", "InvalidFileError", "Reader", "Section", "parse_endpoint"]

REQUIRED = object()


@dataclass(slots=True, frozen=True)
class Diagnostic:
    """Error in a file: its place, the problem and the remedy."""

    file: str
    section: str
    key: str
    problem: str
    remedy: str

    def __str__(self):
        return f"{self.file}: [{self.section}] {self.key}: {self.problem}; {self.remedy}"


class InvalidFileError(ValueError):
    """Raised with all diagnostics of an invalid file."""

    def __init__(self, diagnostics: list[Diagnostic]):
        self.diagnostics = diagnostics
        super().__init__("\n".join(str(diagnostic) for diagnostic in diagnostics))


class Section:
    """Section of an INI file, whose typed reads report errors to the reader."""

    __slots__ = ("known_keys", "name", "reader", "values")

    def __init__(self, reader: "Reader", name: str, values: dict[str, str]):
        self.reader = reader
        self.name = name
        self.values = values
        self.known_keys: set[str] = set()

    def read(self, key: str, parse: Callable, expected: str, default: object = REQUIRED):
        """Return the parsed value of a key; report an error and return None if it is invalid."""
        self.known_keys.add(key)
        text = self.values.get(key)
        if text is None:
            if default is REQUIRED:
                self.report(key, "is missing", f"set it to {expected}")
                return None
            return default
        try:
            return parse(text)
        except ValueError:
            self.report(key, f"{text!r} is not {expected}", f"set it to {expected}")
            return None

    def text(self, key: str, default: object = REQUIRED):
        """Return a non-empty string."""
        return self.read(key, parse_text, "a non-empty text", default)

    def number(self, key: str, low: float, high: float, default: object = REQUIRED):
        """Return a number in a range, bounds included."""
        parse = parse_in_range(float, low, high)
        return self.read(key, parse, f"a number from {low:g} to {high:g}", default)

    def integer(self, key: str, low: int, high: int, default: object = REQUIRED):
        """Return an integer in a range, bounds included."""
        parse = parse_in_range(int, low, high)
        return self.read(key, parse, f"an integer from {low} to {high}", default)

    def seconds(self, key: str, low: float, high: float, default: object = REQUIRED):
        """Return a duration in seconds, written as 250ms, 2s or 1.5s."""
        parse = parse_in_range(parse_seconds, low, high)
        return self.read(key, parse, f"a duration from {low:g}s to {high:g}s", default)

    def boolean(self, key: str, default: object = REQUIRED):
        """Return a boolean, written as yes or no."""
        return self.read(key, parse_boolean, "yes or no", default)

    def endpoint(self, key: str, default: object = REQUIRED):
        """Return an endpoint, written as IP:PORT."""
        return self.read(
            key,
            parse_endpoint,
            "an endpoint IP:PORT, with an IP address and not a host name",
            default,
        )

    def choice(self, key: str, choices: tuple[str, ...], default: object = REQUIRED):
        """Return one of several values."""
        return self.read(key, parse_choice(choices), "one of " + ", ".join(choices), default)

    def report(self, key: str, problem: str, remedy: str) -> None:
        """Add a diagnostic about a key."""
        self.reader.diagnostics.append(
            Diagnostic(self.reader.file, self.name, key, problem, remedy)
        )

    def finish(self) -> None:
        """Report the keys of the file that are unknown, that is, were not read."""
        for key in sorted(set(self.values) - self.known_keys):
            known = ", ".join(sorted(self.known_keys))
            self.report(key, "is unknown", f"remove it; the known keys are {known}")


class Reader:
    """Reader of one INI file, which collects the diagnostics of all sections."""

    __slots__ = ("diagnostics", "file", "known_sections", "parser")

    def __init__(self, file: str, text: str):
        self.file = file
        self.diagnostics: list[Diagnostic] = []
        self.known_sections: set[str] = set()
        self.parser = configparser.ConfigParser(interpolation=None, default_section="")
        try:
            self.parser.read_string(text, file)
        except configparser.Error as error:
            problem = " ".join(str(error).split())
            self.diagnostics.append(
                Diagnostic(file, "-", "-", problem, "correct the INI syntax of the line")
            )
            raise InvalidFileError(self.diagnostics) from error

    def section(self, name: str, required: bool = False) -> Section:
        """Return a section, empty if the file does not have it."""
        self.known_sections.add(name)
        if self.parser.has_section(name):
            return Section(self, name, dict(self.parser[name]))
        if required:
            self.diagnostics.append(
                Diagnostic(self.file, name, "-", "is missing", f"add a section [{name}]")
            )
        return Section(self, name, {})

    def named_sections(self, kind: str) -> Iterator[tuple[str, Section]]:
        """Yield the name and the section of each [KIND NAME]."""
        for section in self.parser.sections():
            prefix, _, name = section.partition(" ")
            if prefix == kind and name.strip():
                yield name.strip(), self.section(section)

    def finish(self) -> None:
        """Report unknown sections; raise InvalidFileError if there is any diagnostic."""
        for section in self.parser.sections():
            if section not in self.known_sections:
                self.diagnostics.append(
                    Diagnostic(
                        self.file, section, "-", "is unknown", "remove it or correct its name"
                    )
                )
        if self.diagnostics:
            raise InvalidFileError(self.diagnostics)


def parse_text(text: str) -> str:
    """Parse a non-empty string."""
    if not text.strip():
        raise ValueError(text)
    return text.strip()


def parse_seconds(text: str) -> float:
    """Parse a duration such as 250ms or 2s, in seconds."""
    text = text.strip()
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    if text.endswith("s"):
        return float(text[:-1])
    raise ValueError(text)


def parse_choice(choices: tuple[str, ...]) -> Callable[[str], str]:
    """Return a parser that accepts only the given values."""

    def parse(text: str) -> str:
        if text.strip() not in choices:
            raise ValueError(text)
        return text.strip()

    return parse


def parse_in_range(parse: Callable, low: float, high: float) -> Callable:
    """Return a parser that rejects values outside a range."""

    def parse_bounded(text: str):
        value = parse(text)
        if not low <= value <= high:
            raise ValueError(text)
        return value

    return parse_bounded


def parse_boolean(text: str) -> bool:
    """Parse a boolean: yes, true or on, and no, false or off."""
    match text.strip().lower():
        case "yes" | "true" | "on":
            return True
        case "no" | "false" | "off":
            return False
    raise ValueError(text)


def parse_endpoint(text: str) -> str:
    """Parse HOST:PORT, where HOST is an IP address."""
    host, _, port = text.strip().rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return text.strip()
