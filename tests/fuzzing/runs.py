"""Run a state machine for a number of examples."""

from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import seed
from hypothesis import settings
from hypothesis import Verbosity
from hypothesis.stateful import run_state_machine_as_test

from fuzzing.batch_machine import BatchMachine
from fuzzing.combined_machine import CombinedMachine
from fuzzing.fault_rules import FaultRules
from fuzzing.fault_rules import StepCounter
from fuzzing.request_machine import RequestMachine
from fuzzing.tables_machine import TablesMachine

MACHINES: dict[str, type[FaultRules]] = {
    "requests": RequestMachine,
    "batch": BatchMachine,
    "tables": TablesMachine,
    "all": CombinedMachine,
}
STEPS_PER_EXAMPLE = 40


def run_machine(
    name: str, examples: int, run_seed: int | None, *, shrink: bool = True
) -> int:
    """Run a machine and return the number of steps.

    Without a seed the examples are always the same.
    """
    before = StepCounter.count
    run_settings = settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_EXAMPLE,
        derandomize=run_seed is None,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
        print_blob=False,
        phases=[Phase.generate, Phase.shrink] if shrink else [Phase.generate],
        verbosity=Verbosity.normal,
        suppress_health_check=list(HealthCheck),
    )

    class Machine(MACHINES[name]):  # type: ignore[misc]
        """The machine under its own seed."""

    Machine.__name__ = MACHINES[name].__name__
    factory = Machine if run_seed is None else seed(run_seed)(Machine)
    run_state_machine_as_test(factory, settings=run_settings)
    return StepCounter.count - before
