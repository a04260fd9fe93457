"""A late start that is carried out behind a cut by a restarted worker."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from kit2.deployment import CannotRun  # noqa: E402
from kit2.deployment import Deployment  # noqa: E402
from kit2.deployment import run_case  # noqa: E402

JOB = "c0e7a21d94b36f85"
TASK = f"{JOB}.0.0.0"
WORK_S = 25.0
# The workers have run for some time, as on any day.
WARM_UP_S = 15.0
# Orders are carried out 2 to 12 s late.
LATE_S = 7.0
# The cut begins then, counted from the order; the worker is back 0.5 s later.
CUT_AT_S = 2.0
CUT_FOR_S = 12.0


# With TROUBLE=cut the worker is cut off, and no order is late.
ONLY_CUT = os.environ.get("TROUBLE") == "cut"


async def scenario(record, trouble):
    # One worker of seven is cut off: a share of 0.143, of 0.17.
    cell = Deployment(record, vms=7)
    try:
        await cell.start()
        ordered = []

        def late_once(worker):
            def late_s(name, body):
                if not trouble or ONLY_CUT or ordered or name != "run-start":
                    return None
                ordered.append((worker, time.monotonic()))
                return LATE_S

            return late_s

        for worker in cell.workers.values():
            worker.plan = lambda task, run, spec: (WORK_S, "done")
            worker.late_s = late_once(worker)
        await asyncio.sleep(WARM_UP_S)
        step = {
            "Count": 1,
            "Cpu": 960,
            "MemMb": 64,
            "EstimateMs": int(WORK_S * 1000),
        }
        status, _ = await cell.request(
            cell.entries[0],
            "POST",
            f"/quotes/{JOB}",
            {"Spec": "quote", "Steps": [step]},
        )
        if status != 200:
            raise CannotRun(f"the submission got {status}")
        await asyncio.sleep(1.2)
        if trouble and not ONLY_CUT and not ordered:
            raise CannotRun("no start was ordered")
        if ordered:
            worker, at_s = ordered[0]
        else:
            worker = next(w for w in cell.workers.values() if w.starts)
            at_s = worker.starts[0][0]
        await asyncio.sleep(at_s + CUT_AT_S - time.monotonic())
        if not worker.running:
            raise CannotRun("the task doesn't run before the cut")
        if trouble:
            worker.cut_off()
            await asyncio.sleep(0.5)
            worker.restart_behind_cut()
        both_s = 0.0
        until_s = at_s + CUT_AT_S + CUT_FOR_S
        while time.monotonic() < until_s:
            runs = [
                (w.worker_id, w.running[TASK].run)
                for w in cell.workers.values()
                if TASK in w.running
            ]
            if len(runs) > 1:
                if not both_s:
                    record("two runs at the same time", runs=runs)
                both_s += 0.05
            await asyncio.sleep(0.05)
        if trouble:
            worker.reconnect()
        await asyncio.sleep(5)
        if both_s:
            return [
                f"TWICE: two runs of {TASK} at the same time, on workers that"
                f" are up, for {both_s:.1f} s"
            ]
        return []
    finally:
        cell.close()


if __name__ == "__main__":
    run_case(HERE, scenario)
