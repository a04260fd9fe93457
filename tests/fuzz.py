"""Fuzz from the command line: ``fuzz.py --seed S --examples N``."""

from __future__ import annotations

import argparse
import sys
import time
import traceback

from fuzzing.fault_rules import Steps
from fuzzing.runs import MACHINES
from fuzzing.runs import run_machine


def main() -> int:
    """Run the machines and say what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--machine", choices=[*MACHINES], action="append")
    parser.add_argument("--no-shrink", action="store_true")
    given = parser.parse_args()
    red = 0
    for name in given.machine or MACHINES:
        started_s = time.monotonic()
        before = Steps.count
        print(f"{name}: seed {given.seed}, {given.examples} examples")
        try:
            run_machine(
                name, given.examples, given.seed, shrink=not given.no_shrink
            )
        except Exception:
            red += 1
            traceback.print_exc(limit=-1, file=sys.stdout)
        took_s = time.monotonic() - started_s
        steps = Steps.count - before
        print(f"{name}: {steps} steps in {took_s:.0f} s", flush=True)
    print(f"{Steps.count} steps, {red} of the machines red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
