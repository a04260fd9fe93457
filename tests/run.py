"""Run the scenarios; the last line printed is ``N passed, N failed``."""

from __future__ import annotations

import pathlib
import sys

from behave.configuration import Configuration
from behave.model_type import Status
from behave.runner import Runner

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Return the names of scenarios that are listed as known failures.

    Each entry starts with a line ``scenario: NAME``.
    """
    if not KNOWN_RED.exists():
        return set()
    names = set()
    for line in KNOWN_RED.read_text("utf-8").splitlines():
        if line.startswith("scenario:"):
            names.add(line.partition(":")[2].strip())
    return names


def main() -> int:
    """Run the scenarios named by the arguments, or all of them."""
    paths = sys.argv[1:] or [str(ROOT / "tests" / "features")]
    config = Configuration(
        command_args=["--no-capture-hooks", "--format=progress", *paths]
    )
    runner = Runner(config)
    runner.run()
    passed = 0
    failed = []
    for feature in runner.features:
        for scenario in feature.walk_scenarios():
            if scenario.status == Status.passed:
                passed += 1
                continue
            failed.append(scenario.name.strip())
            for step in scenario.steps:
                if step.error_message:
                    print(f"{scenario.name.strip()}: {step.error_message}")
    known = known_red()
    for name in failed:
        label = "known red" if name in known else "failed"
        print(f"{label}: {name}")
    for name in sorted(known.difference(failed)):
        print(f"listed as known red but not seen red: {name}")
    unexpected = [name for name in failed if name not in known]
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
