"""Run the soak test: ``soak.py --first S --seeds N --seconds T``."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile

from soak.seed_run import run_seed

REGRESSIONS = pathlib.Path(__file__).parent / "soak" / "regressions.txt"


def _regression_seeds() -> list[int]:
    lines = REGRESSIONS.read_text("utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[0].isdigit()]


def main() -> int:
    """Run the seeds one after the other and print their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds",
        type=float,
        default=20.0,
        help="duration of fault injection per seed",
    )
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="directory to keep process logs in"
    )
    parser.add_argument(
        "--faults",
        default="",
        help="names of the faults to choose from, separated by commas",
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that once failed",
    )
    options = parser.parse_args()
    seeds = list(range(options.first, options.first + options.seeds))
    if options.regressions:
        seeds = _regression_seeds()
    failures = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as scratch:
            directory = pathlib.Path(scratch)
            if options.keep is not None:
                directory = options.keep / f"seed-{seed}"
                directory.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(
                run_seed(
                    seed,
                    directory,
                    options.seconds,
                    options.entries,
                    options.vms,
                    tuple(options.faults.split(",")) if options.faults else (),
                )
            )
        failures += bool(report.violations)
        print(
            f"seed {seed}: {report.accepted} of {report.jobs} jobs accepted,"
            f" {report.starts} starts, {report.kept_answers} answers on kept"
            f" connections ({report.excused_closes} lost beside other faults),"
            f" faults {' '.join(report.faults)}",
            flush=True,
        )
        for violation in report.violations:
            print(f"  {violation}", flush=True)
    print(f"{len(seeds)} seeds, {failures} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
