from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then

from yuccapoint.cell.report_handler import ReportHandler

if TYPE_CHECKING:
    from behave.runner import Context

    from yuccapoint.cell.vm_ledger import VmLedger


@given("the releases of VMs whose lease expired are counted")
def count_releases(context: Context) -> None:
    context.released = []
    release_claims = ReportHandler.release_claims

    def count(
        self: ReportHandler, vm: VmLedger, why: str, now_s: float
    ) -> None:
        if vm.claims:
            context.released.append((vm.name, why, now_s))
        release_claims(self, vm, why, now_s)

    patch = mock.patch.object(ReportHandler, "release_claims", count)
    patch.start()
    context.cleanups.append(patch.stop)


@then("no VM was released")
def none_released(context: Context) -> None:
    assert not context.released, context.released
