from __future__ import annotations

import random
from typing import TYPE_CHECKING
import uuid

from behave import given
from behave import then
from behave import when

from yuccapoint.job.records import KeyClaimed
from yuccapoint.request.exceptions import RepeatedKeyError
from yuccapoint.request.key_claims import KeyClaims
from yuccapoint.request.key_owners import KeyOwners
from yuccapoint.request.recent_keys import RecentKeys

if TYPE_CHECKING:
    from behave.runner import Context

ENTRIES = 3
VMS = 11
POOL = "pool"
HOUR_MS = 3_600_000
STEP_MS = 1_000
MAX_REPEAT_DELAY_MS = 1_200_000
START_MS = 1_800_000_000_000


class SimulatedCell:
    """Agents' recent keys and entries that read the log with a delay."""

    def __init__(self, rng: random.Random, lag_s: int) -> None:
        self.rng = rng
        self.now_ms = START_MS
        self.lag_ms = lag_s * 1000
        self.log: list[tuple[int, str, str, int]] = []
        self.starts: dict[str, int] = {}
        self.keys_by_vm: dict[str, RecentKeys] = {}
        self.entries = [KeyOwners() for _ in range(ENTRIES)]
        self.read_until = [0] * ENTRIES
        for number in range(VMS):
            self.now_ms += STEP_MS
            self.join(f"vm-{number}")

    def join(self, vm: str) -> None:
        self.start(vm)
        self.log.append((self.now_ms, "join", vm, self.starts[vm]))

    def start(self, vm: str) -> None:
        self.keys_by_vm[vm] = RecentKeys()
        self.starts[vm] = self.starts.get(vm, 0) + 1

    def inject_change(self) -> None:
        vm = self.rng.choice(list(self.keys_by_vm))
        kind = self.rng.randrange(3)
        if kind == 0:
            self.join(f"vm-{len(self.log)}-new")
        if kind == 1:
            self.start(vm)
            if self.rng.random() < 0.5:
                self.log.append((self.now_ms, "join", vm, self.starts[vm]))
        if kind == 2 and len(self.keys_by_vm) > VMS // 2:
            del self.keys_by_vm[vm]
            self.log.append((self.now_ms, "leave", vm, 0))

    def claim(self, index: int, key: str, claimant: str) -> bool:
        owners = self._read(index)
        found = owners.owners(POOL, "c/r", key, self.now_ms)
        known = True
        for owner in found:
            recent_keys = self.keys_by_vm.get(owner.vm)
            if recent_keys is None or not owner.present:
                return False
            try:
                recent_keys.claim("c/r", key, claimant, self.now_ms / 1000)
            except RepeatedKeyError:
                return False
            remembered_s = recent_keys.remembers_for_s(self.now_ms / 1000)
            known = known and remembered_s >= owner.must_remember_s
            known = known and self.starts[owner.vm] == owner.incarnation
        return known and bool(found)

    def _read(self, index: int) -> KeyOwners:
        owners = self.entries[index]
        until_ms = self.now_ms - self.rng.randint(0, self.lag_ms)
        while self.read_until[index] < len(self.log):
            stamp_ms, kind, vm, start = self.log[self.read_until[index]]
            if stamp_ms > until_ms:
                break
            self.read_until[index] += 1
            if kind == "join":
                owners.join(vm, POOL, start, stamp_ms)
                continue
            owners.leave(vm, stamp_ms)
        return owners


@when(
    "{count:d} keys are claimed twice at entries whose log lags up to "
    "{lag:d} s, seed {seed:d}"
)
def claim_keys(context: Context, count: int, lag: int, seed: int) -> None:
    rng = random.Random(seed)
    cell = SimulatedCell(rng, lag)
    due: list[tuple[int, str]] = []
    context.accepted = {}
    context.first_claims = 0
    for number in range(count):
        cell.now_ms += rng.randint(1, 5) * STEP_MS
        if rng.random() < 0.003:
            cell.inject_change()
        due.append((rng.randint(0, MAX_REPEAT_DELAY_MS), f"key-{number}"))
        if cell.claim(rng.randrange(ENTRIES), f"key-{number}", f"{number}a"):
            context.first_claims += 1
            context.accepted[f"key-{number}"] = 1
        due[-1] = (cell.now_ms + due[-1][0], due[-1][1])
        for entry in [item for item in due if item[0] <= cell.now_ms]:
            due.remove(entry)
            if cell.claim(rng.randrange(ENTRIES), entry[1], "repeat"):
                again = context.accepted.get(entry[1], 0)
                context.accepted[entry[1]] = again + 1
    context.count = count


@then("no key was accepted twice")
def no_key_twice(context: Context) -> None:
    twice = [key for key, count in context.accepted.items() if count > 1]
    assert not twice, twice


@then("at least {share:d} % of the first claims were accepted")
def share_accepted(context: Context, share: int) -> None:
    assert context.first_claims * 100 >= share * context.count, (
        context.first_claims
    )


@given("key owners of {count:d} VMs that joined one second apart")
def some_owners(context: Context, count: int) -> None:
    context.owners = KeyOwners()
    context.now_ms = START_MS
    for number in range(count):
        context.now_ms += STEP_MS
        context.owners.join(f"vm-{number}", POOL, 1, context.now_ms)


@when("one of the key owners is lost one hour later")
def lose_owner(context: Context) -> None:
    context.now_ms += HOUR_MS
    context.owners.leave("vm-3", context.now_ms)
    context.now_ms += 100 * STEP_MS


def _owners(context: Context, key: str) -> list[str]:
    found = context.owners.owners(POOL, "c/r", key, context.now_ms)
    return [owner.vm if owner.present else "" for owner in found]


@then("{share:d} % of {count:d} plain keys have only present owners")
def plain_keys(context: Context, share: int, count: int) -> None:
    context.found = [_owners(context, f"key-{n}") for n in range(count)]
    present = sum("" not in owners for owners in context.found)
    assert present * 100 >= share * count, present


@then("each of them has the first VM among its owners")
def first_among(context: Context) -> None:
    assert all(owners[0] == "vm-0" for owners in context.found)


@then("some of {count:d} plain keys have a lost owner")
def some_lost(context: Context, count: int) -> None:
    found = [_owners(context, f"key-{n}") for n in range(count)]
    lost = sum("" in owners for owners in found)
    assert 0 < lost < count / 4, lost


@then("no key with a creation time has a lost owner")
def none_lost(context: Context) -> None:
    for number in range(200):
        value = (context.now_ms << 80) | (7 << 76) | (2 << 62) | number
        owners = _owners(context, str(uuid.UUID(int=value)))
        assert "" not in owners
        assert len(owners) == 1


@when(
    'customer "{one}" claims "{key}" on "{route}" and customer "{two}" '
    'claims "{other}" on "{second}" in the log'
)
def claim_in_log(
    context: Context,
    one: str,
    key: str,
    route: str,
    two: str,
    other: str,
    second: str,
) -> None:
    claims = KeyClaims()
    context.refusals = [
        claims.apply(KeyClaimed(one, route, key, "r1"), START_MS),
        claims.apply(KeyClaimed(two, second, other, "r2"), START_MS),
    ]


@then("both key claims in the log are accepted")
def both_accepted(context: Context) -> None:
    assert context.refusals == ["", ""]


@when("an agent gets {count:d} keys, one per millisecond")
def fill_recent_keys(context: Context, count: int) -> None:
    context.recent_keys = RecentKeys()
    for number in range(count):
        context.recent_keys.claim("s", f"k{number}", "c", number / 1000)
    context.now_s = (count - 1) / 1000


@then("the agent's recent keys are complete for {span:d} seconds")
def complete_for(context: Context, span: int) -> None:
    remembers_s = context.recent_keys.remembers_for_s(context.now_s)
    assert remembers_s <= span, remembers_s
    assert remembers_s >= span - 1, remembers_s
