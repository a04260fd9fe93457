"""Gangs of the workers' tasks: members of one run of one step."""

import time


class Gangs:
    """Lets the members of a run work together and end together."""

    def __init__(self):
        self._present = {}
        self._started = {}
        self._broken = {}
        self._done = set()
        # Runs of a step with an end ``failed``, by step.
        self.failed_runs = {}

    def on_start(self, worker, run):
        key = self._key(run)
        self._present.setdefault(key, {})[run.task] = run
        if len(self._present[key]) < run.gang or key in self._broken:
            return
        now_s = time.monotonic()
        for member in self._present[key].values():
            member.works = True
            member.started_s = now_s

    def on_end(self, run, how):
        key = self._key(run)
        self._present.get(key, {}).pop(run.task, None)
        if how == "failed":
            self.failed_runs.setdefault(key[0], set()).add(run.run)
        if how == "done":
            self._done.add(key)
        elif key not in self._done:
            self._broken.setdefault(key, how)

    def update(self, worker, run, now_s):
        """End a member whose gang has ended."""
        key = self._key(run)
        if key in self._done:
            worker.end(run, "done")
        elif key in self._broken:
            worker.end(run, "broken")

    @staticmethod
    def _key(run):
        return run.task.rpartition(".")[0], run.run
