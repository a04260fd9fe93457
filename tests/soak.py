"""Soak real processes: ``soak.py --first S --seeds N --seconds T``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile

from soak.play import play

REGRESSIONS = pathlib.Path(__file__).parent / "soak" / "regressions.txt"


def _regressions() -> list[int]:
    lines = REGRESSIONS.read_text("utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[0].isdigit()]


def main() -> int:
    """Play the seeds one after the other and say what was seen."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="time of faults a seed"
    )
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for logs")
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that once failed"
    )
    given = parser.parse_args()
    seeds = list(range(given.first, given.first + given.seeds))
    if given.regressions:
        seeds = _regressions()
    red = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(scratch)
            if given.keep is not None:
                directory = given.keep / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
            verdict = asyncio.run(
                play(seed, directory, given.seconds, given.entries, given.vms)
            )
        red += bool(verdict.broken)
        print(
            f"seed {seed}: {verdict.accepted} of {verdict.jobs} jobs accepted,"
            f" {verdict.starts} starts, faults {' '.join(verdict.faults)}",
            flush=True,
        )
        for broken in verdict.broken:
            print(f"  {broken}", flush=True)
    print(f"{len(seeds)} seeds, {red} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
