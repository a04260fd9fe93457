from __future__ import annotations

import ast
import doctest
import importlib.util
import pathlib
import re
from typing import TYPE_CHECKING

from behave import then
from behave import when

if TYPE_CHECKING:
    from behave.runner import Context

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "EMBEDDING.md"
SOCKET_LIBRARIES = {"tornado", "pynng", "asyncio", "socket"}


@when("the examples of docs/EMBEDDING.md are run")
def run_examples(context: Context) -> None:
    context.results = doctest.testfile(str(PAGE), module_relative=False)


@then("no example fails and at least {count:d} are run")
def examples_pass(context: Context, count: int) -> None:
    assert context.results.failed == 0
    assert context.results.attempted >= count


@then("importing each part of docs/EMBEDDING.md loads no socket library")
def no_sockets(context: Context) -> None:
    del context
    text = PAGE.read_text("utf-8")
    waiting = re.findall(r"from (yuccapoint\S+) import (\w+)", text)
    modules = [f"{a}.{b}" if b.islower() else a for a, b in waiting]
    seen: set[str] = set()
    while modules:
        name = modules.pop()
        if name in seen:
            continue
        seen.add(name)
        found = _imports(name)
        assert not found & SOCKET_LIBRARIES, (name, found)
        modules += [other for other in found if other.startswith("yucca")]


def _imports(name: str) -> set[str]:
    """Return the modules that a module imports at run time."""
    spec = importlib.util.find_spec(name)
    assert spec is not None and spec.origin is not None, name
    tree = ast.parse(pathlib.Path(spec.origin).read_text("utf-8"))
    found = set()
    for node in tree.body:
        if isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
            found.add(node.module.partition(".")[0])
        if isinstance(node, ast.Import):
            found.update(alias.name.partition(".")[0] for alias in node.names)
    return found - {"yuccapoint"}
