"""Messages by which control channels check their connections."""

from __future__ import annotations

import msgspec


class DeliveryProbe(msgspec.Struct, frozen=True, tag="dp", array_like=True):
    """Asks the receiver to confirm that the connection delivers.

    ``receiver`` is the address at which the sender knows the receiver, and
    ``sender`` the one that receives the receipt. ``confirmed`` is the newest
    probe of which the sender got a receipt; 0 for none.
    """

    sender: str
    receiver: str
    number: int
    confirmed: int


class DeliveryReceipt(msgspec.Struct, frozen=True, tag="dr", array_like=True):
    """Confirms a probe, whose receiver and number it repeats."""

    receiver: str
    number: int
