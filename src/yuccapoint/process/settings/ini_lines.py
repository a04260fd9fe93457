"""Line numbers of the sections and keys of an INI file."""

from __future__ import annotations


class IniLines:
    """Line numbers of an INI text, for error messages.

    Attributes
    ----------
    faults : list of str
        Duplicate keys and sections, and malformed lines.
    """

    __slots__ = ("_keys", "_sections", "faults")

    def __init__(self, text: str) -> None:
        self.faults: list[str] = []
        self._sections: dict[str, int] = {}
        self._keys: dict[str, int] = {}
        section = ""
        for number, raw in enumerate(text.splitlines(), start=1):
            line = raw.strip()
            if not line or line[0] in "#;":
                continue
            if line[0] == "[" and line[-1] == "]":
                section = line[1:-1].strip()
                self._add(self._sections, section, number, f"[{section}]")
                continue
            key, equals, _ = line.partition("=")
            if not equals or not section:
                self.faults.append(f"line {number}: expected key = value")
                continue
            name = f"{section}.{key.strip().lower()}"
            self._add(self._keys, name, number, name)

    def line_of(self, section: str, key: str = "") -> int:
        """Return the line of a key, else of its section, else 0."""
        line = self._keys.get(f"{section}.{key}")
        return line or self._sections.get(section, 0)

    def _add(
        self, lines: dict[str, int], name: str, number: int, shown: str
    ) -> None:
        if name in lines:
            text = f"line {number}: duplicate {shown}"
            self.faults.append(f"{text}, first in line {lines[name]}")
            return
        lines[name] = number
