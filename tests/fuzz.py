"""Run the fuzzing state machines: ``fuzz.py --seed S --examples N``."""

from __future__ import annotations

import argparse
import sys
import time
import traceback

from fuzzing.fault_rules import StepCounter
from fuzzing.runs import MACHINES
from fuzzing.runs import run_machine


def main() -> int:
    """Run the chosen machines and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=200)
    parser.add_argument("--machine", choices=[*MACHINES], action="append")
    parser.add_argument("--no-shrink", action="store_true")
    options = parser.parse_args()
    failures = 0
    for name in options.machine or MACHINES:
        started_s = time.monotonic()
        before = StepCounter.count
        print(f"{name}: seed {options.seed}, {options.examples} examples")
        try:
            run_machine(
                name,
                options.examples,
                options.seed,
                shrink=not options.no_shrink,
            )
        except Exception:
            failures += 1
            traceback.print_exc(limit=-1, file=sys.stdout)
        took_s = time.monotonic() - started_s
        steps = StepCounter.count - before
        print(f"{name}: {steps} steps in {took_s:.0f} s", flush=True)
    print(f"{StepCounter.count} steps, {failures} machines failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
