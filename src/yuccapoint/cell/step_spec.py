"""One step of a job, made of tasks of the same kind."""

from __future__ import annotations

import msgspec

from yuccapoint.job.size import Size


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """Requirements of a step's tasks.

    Attributes
    ----------
    tasks : int
        Number of tasks.
    size : Size
        Resources that one task commits on its VM.
    estimate_ms : int
        The submitter's rough estimate of a task's run time.
    depends_on : tuple of int
        Numbers of the steps that have to be done before.
    saves_progress : bool
        Whether the tasks write checkpoints.
    gang : bool
        Whether the tasks only work when all of them are present.
    same_rack : bool
        Whether the tasks slow down when spread over racks.
    label : str
        Label that a VM must have; empty for any VM.
    rack : str
        Rack that holds the data; empty when it doesn't matter.
    max_per_vm : int
        Most tasks of the step on one VM; 0 for no limit.
    speculative : bool
        Whether copies of a task may run at the same time.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : int
        Tail latency that serving tasks stay below; 0 for none.
    best_effort : bool
        Whether the tasks use only processors that others leave idle.
    max_unavailable : int
        Most long-running tasks that the scheduler may stop at once.
    """

    tasks: int
    size: Size
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_vm: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0

    @property
    def committed(self) -> Size:
        """Resources that a task reserves on its VM."""
        if not self.best_effort:
            return self.size
        return Size(0, self.size.memory_bytes, self.size.accelerators)

    @property
    def kind(self) -> str:
        """How tasks share a VM: ``serving``, ``filling`` or ``plain``.

        ``filling`` stands for best-effort tasks.
        """
        if self.target_ms:
            return "serving"
        return "filling" if self.best_effort else "plain"
