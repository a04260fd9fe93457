"""A setting that takes effect without a restart."""

from __future__ import annotations

from typing import Generic
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

    from yuccapoint.platform.node_settings import NodeSettings

Value = TypeVar("Value")


class SettingFollower(Generic[Value]):
    """Applies each change of a setting.

    Parameters
    ----------
    name : str
        Name of the setting in log lines.
    select : callable
        Returns the setting's value.
    apply : callable
        Puts a value to use, or raises ValueError.
    applied : object
        The value in use.
    """

    __slots__ = ("_applied", "_apply", "_select", "name")

    def __init__(
        self,
        name: str,
        select: Callable[[NodeSettings], Value],
        apply: Callable[[Value], None],
        applied: Value,
    ) -> None:
        self.name = name
        self._select = select
        self._apply = apply
        self._applied = applied

    def update(self, settings: NodeSettings) -> bool:
        """Apply the setting; return whether it has changed.

        Raises
        ------
        ValueError
            The value can't be used; the former one stays in use.
        """
        value = self._select(settings)
        if value == self._applied:
            return False
        self._apply(value)
        self._applied = value
        return True
